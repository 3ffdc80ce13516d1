//! Client proxies: each draws its requests from a seed, finds servers by a list, speaks Thrift, tries again elsewhere,
//! and keeps books of every try.

mod books;
mod classes;
mod habit;
mod proxy;
mod servers;

pub use books::{Asked, Books, End, Live, Try, tally};
pub use classes::{Class, classes, scaled_classes};
pub use habit::{Habit, Repeats, Retry};
pub use proxy::Proxy;
pub use servers::{Fixed, Servers};
