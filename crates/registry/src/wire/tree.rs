//! A message as a tree, whichever format it came in.

/// An element: an XML element, or a member of a JSON object. `"@x"` members are attributes and `"$"` is text, as
/// Eureka's JSON spells them.
#[derive(Debug, Default)]
pub struct Node {
    pub name: String,
    pub text: String,
    attributes: Vec<(String, String)>,
    pub children: Vec<Node>,
}

impl Node {
    pub fn new(name: &str) -> Self {
        Self { name: name.to_string(), ..Self::default() }
    }

    pub fn set_attribute(&mut self, name: &str, value: String) {
        self.attributes.push((name.to_string(), value));
    }

    pub fn attribute(&self, name: &str) -> Option<&str> {
        self.attributes.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn child(&self, name: &str) -> Option<&Node> {
        self.children.iter().find(|child| child.name == name)
    }

    pub fn children<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Node> {
        self.children.iter().filter(move |child| child.name == name)
    }

    /// This node if it has the name, or else its child of that name.
    pub fn within(&self, name: &str) -> Option<&Node> {
        if self.name == name { Some(self) } else { self.child(name) }
    }

    /// The text of a child, if there is one that holds any.
    pub fn text_of(&self, name: &str) -> Option<&str> {
        self.child(name).map(|child| child.text.trim()).filter(|text| !text.is_empty())
    }
}
