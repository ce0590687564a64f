//! HTTP/1.1 framing for a proxy: heads are parsed by `httparse`, bodies are forwarded as they
//! arrive, and a message whose length is ambiguous is an error.

pub mod body;
pub mod connection;
pub mod head;
pub mod pool;
