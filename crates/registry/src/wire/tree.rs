//! A message as a tree, independent of its format.

/// An element: an XML element, or a member of a JSON object. `"@x"` members are attributes and `"$"` is text, as
/// Eureka's JSON spells them.
#[derive(Debug, Default)]
pub(super) struct Node {
    /// The element's or member's name.
    pub name: String,
    /// The text in it.
    pub text: String,
    attributes: Vec<(String, String)>,
    /// The elements in it, in order.
    pub children: Vec<Node>,
}

impl Node {
    /// An empty node.
    pub(super) fn new(name: &str) -> Self {
        Self { name: name.to_string(), ..Self::default() }
    }

    /// Adds an attribute.
    pub(super) fn set_attribute(&mut self, name: &str, value: String) {
        self.attributes.push((name.to_string(), value));
    }

    /// The value of an attribute.
    pub(super) fn attribute(&self, name: &str) -> Option<&str> {
        self.attributes.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The first child of a name.
    pub(super) fn child(&self, name: &str) -> Option<&Node> {
        self.children.iter().find(|child| child.name == name)
    }

    /// All children of a name.
    pub(super) fn children<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Node> {
        self.children.iter().filter(move |child| child.name == name)
    }

    /// This node if it has the name, or else its child of that name.
    pub(super) fn within(&self, name: &str) -> Option<&Node> {
        if self.name == name { Some(self) } else { self.child(name) }
    }

    /// The text of a child, if there is one that holds any.
    pub(super) fn text_of(&self, name: &str) -> Option<&str> {
        self.child(name).map(|child| child.text.trim()).filter(|text| !text.is_empty())
    }
}
