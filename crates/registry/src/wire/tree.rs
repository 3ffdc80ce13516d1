//! A message as a tree of nodes, independent of the format.

/// An XML element, or a member of a JSON object. In Eureka's JSON, members named `"@x"` are attributes and `"$"` is text.
#[derive(Debug, Default)]
pub(super) struct Node {
    /// The name of the element or member.
    pub name: String,
    /// The text directly in the element, without that of its children.
    pub text: String,
    attributes: Vec<(String, String)>,
    /// The child elements, in the order of the message.
    pub children: Vec<Node>,
}

impl Node {
    /// A node without text, attributes and children.
    pub(super) fn new(name: &str) -> Self {
        Self { name: name.to_string(), ..Self::default() }
    }

    /// Appends an attribute; of several with the same name, the first is read.
    pub(super) fn set_attribute(&mut self, name: &str, value: String) {
        self.attributes.push((name.to_string(), value));
    }

    /// The value of an attribute, if it is present.
    pub(super) fn attribute(&self, name: &str) -> Option<&str> {
        self.attributes.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The first child with this name.
    pub(super) fn child(&self, name: &str) -> Option<&Node> {
        self.children.iter().find(|child| child.name == name)
    }

    /// All children with this name, in order.
    pub(super) fn children<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Node> {
        self.children.iter().filter(move |child| child.name == name)
    }

    /// This node if it has the name, otherwise its first child with that name.
    pub(super) fn within(&self, name: &str) -> Option<&Node> {
        if self.name == name { Some(self) } else { self.child(name) }
    }

    /// The trimmed text of the first child with this name; `None` if there is no child or no text.
    pub(super) fn text_of(&self, name: &str) -> Option<&str> {
        self.child(name).map(|child| child.text.trim()).filter(|text| !text.is_empty())
    }
}
