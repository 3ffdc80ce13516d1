//! The registry API of Eureka, without I/O and without a clock: its messages, the registration of one server, and a client's
//! view of a fleet.
//!
//! - [`instance`]: an instance record as the registry holds it, and its status.
//! - [`wire`]: encoding and decoding of instances and applications, as XML and as JSON.
//! - [`membership`]: the state machine of a server's own registration.
//! - [`view`]: the fleet as a client sees it, updated by full fetches and deltas.
//! - [`backoff`]: delays between attempts.
//!
//! The protocol is that of the public REST operations of Eureka 1.x (`/eureka/v2/apps`, or `/eureka/apps` in other
//! distributions). Fields and their spelling follow the messages of its servers.
#![warn(missing_docs, unreachable_pub, clippy::too_many_lines)]

pub mod backoff;
pub mod instance;
pub mod membership;
pub mod view;
pub mod wire;
