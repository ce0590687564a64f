//! The heads of requests and responses, and the body framing that they declare.

use snafu::Snafu;

/// The maximum number of header fields of a message.
const MAX_FIELDS: usize = 96;

/// Why a head is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The bytes are not a valid head.
    #[snafu(display("malformed head: {message}"))]
    Malformed {
        /// What is wrong.
        message: String,
    },
    /// The header fields allow more than one body length, or none.
    #[snafu(display("ambiguous body length"))]
    Ambiguous,
}

fn malformed(message: &str) -> Error {
    Error::Malformed {
        message: message.to_string(),
    }
}

/// Header fields in the order they arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    fields: Vec<(String, Vec<u8>)>,
}

impl Headers {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends a field.
    pub fn with_field(mut self, name: &str, value: &str) -> Self {
        self.push(name, value.as_bytes());
        self
    }

    /// Appends a field.
    pub fn push(&mut self, name: &str, value: &[u8]) {
        self.fields.push((name.to_string(), value.to_vec()));
    }

    /// Returns the value of the first field with that name, if it is UTF-8.
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.get_all(name)
            .next()
            .and_then(|value| std::str::from_utf8(value).ok())
    }

    /// Iterates over the values of all fields with that name.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.fields
            .iter()
            .filter(move |(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_slice())
    }

    /// Removes the fields whose name matches the predicate.
    pub fn remove(&mut self, matches: impl Fn(&str) -> bool) {
        self.fields.retain(|(name, _)| !matches(name));
    }

    /// Iterates over names and values.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    /// Returns whether a comma-separated field contains `token`.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|item| item.trim().eq_ignore_ascii_case(token))
    }

    /// Removes the fields that apply to a single connection, and those that `Connection` lists.
    pub fn remove_hop_by_hop(&mut self) {
        const HOP_BY_HOP: [&str; 9] = [
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
        ];
        let listed: Vec<String> = self
            .get_all("connection")
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .map(|item| item.trim().to_ascii_lowercase())
            .collect();
        self.remove(|name| {
            let name = name.to_ascii_lowercase();
            HOP_BY_HOP.contains(&name.as_str()) || listed.contains(&name)
        });
    }

    fn encode_into(&self, out: &mut Vec<u8>) {
        for (name, value) in &self.fields {
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
        out.extend_from_slice(b"\r\n");
    }
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// It ends after this many bytes.
    Length(u64),
    /// It ends with the last chunk.
    Chunked,
    /// It ends with the connection; only for responses.
    Close,
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The request target (path and query), as received.
    pub target: String,
    /// The minor version of HTTP/1.
    pub minor_version: u8,
    /// The header fields.
    pub headers: Headers,
}

impl Request {
    /// Creates an HTTP/1.1 request without fields.
    pub fn new(method: &str, target: &str) -> Self {
        Self {
            method: method.to_string(),
            target: target.to_string(),
            minor_version: 1,
            headers: Headers::new(),
        }
    }

    /// Parses a request head; returns it with the body's framing and the size of the head, or
    /// `None` while the head is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the bytes are not a valid head, or the body's length is ambiguous.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, Framing, usize)>, Error> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut fields);
        let size = match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(error) => return Err(malformed(&error.to_string())),
        };
        let request = Self {
            method: parsed.method.unwrap_or_default().to_string(),
            target: parsed.path.unwrap_or_default().to_string(),
            minor_version: parsed.version.unwrap_or_default(),
            headers: headers(parsed.headers)?,
        };
        if request.headers.get_all("host").count() != 1 {
            return Err(malformed("one Host is required"));
        }
        let framing =
            framing(&request.headers, request.minor_version)?.unwrap_or(Framing::Length(0));
        Ok(Some((request, framing, size)))
    }

    /// Returns whether the connection may carry another request after this one.
    pub fn keeps_connection(&self) -> bool {
        keeps_connection(&self.headers, self.minor_version)
    }

    /// Encodes the head.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = format!("{} {} HTTP/1.1\r\n", self.method, self.target).into_bytes();
        self.headers.encode_into(&mut bytes);
        bytes
    }
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The minor version of HTTP/1.
    pub minor_version: u8,
    /// The header fields.
    pub headers: Headers,
}

impl Response {
    /// Creates an HTTP/1.1 response without fields.
    pub fn new(status: u16) -> Self {
        Self {
            status,
            minor_version: 1,
            headers: Headers::new(),
        }
    }

    /// Parses the head of a response to a request with `method`; returns it with the body's
    /// framing and the size of the head, or `None` while the head is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the bytes are not a valid head, or the body's length is ambiguous.
    pub fn parse(bytes: &[u8], method: &str) -> Result<Option<(Self, Framing, usize)>, Error> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut fields);
        let size = match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(error) => return Err(malformed(&error.to_string())),
        };
        let response = Self {
            status: parsed.code.unwrap_or_default(),
            minor_version: parsed.version.unwrap_or_default(),
            headers: headers(parsed.headers)?,
        };
        if response.status < 100 {
            return Err(malformed("status below 100"));
        }
        let has_no_body = method == "HEAD"
            || response.status < 200
            || response.status == 204
            || response.status == 304;
        let framing = if has_no_body {
            Framing::Length(0)
        } else {
            framing(&response.headers, response.minor_version)?.unwrap_or(Framing::Close)
        };
        Ok(Some((response, framing, size)))
    }

    /// Returns whether the connection may carry another response after this one.
    pub fn keeps_connection(&self) -> bool {
        keeps_connection(&self.headers, self.minor_version)
    }

    /// Encodes the head.
    pub fn encode(&self) -> Vec<u8> {
        let reason = reason_phrase(self.status);
        let mut bytes = format!("HTTP/1.1 {} {reason}\r\n", self.status).into_bytes();
        self.headers.encode_into(&mut bytes);
        bytes
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

fn headers(parsed: &[httparse::Header<'_>]) -> Result<Headers, Error> {
    let mut headers = Headers::new();
    for field in parsed {
        if field
            .value
            .iter()
            .any(|byte| matches!(byte, 0 | b'\r' | b'\n'))
        {
            return Err(malformed("control character in a field"));
        }
        headers.push(field.name, field.value);
    }
    Ok(headers)
}

fn keeps_connection(headers: &Headers, minor: u8) -> bool {
    if minor == 0 {
        headers.has_token("connection", "keep-alive")
    } else {
        !headers.has_token("connection", "close")
    }
}

/// Returns the framing that the header fields declare, or `None` if they declare none.
///
/// A field that occurs twice, both fields at once, and any transfer coding but `chunked` are
/// errors, because another server might determine a different length.
fn framing(headers: &Headers, minor: u8) -> Result<Option<Framing>, Error> {
    let mut lengths = headers.get_all("content-length");
    let mut codings = headers.get_all("transfer-encoding");
    match (lengths.next(), codings.next()) {
        (None, None) => Ok(None),
        (Some(_), Some(_)) => Err(Error::Ambiguous),
        (None, Some(coding)) => {
            let is_chunked = coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
            if !is_chunked || codings.next().is_some() || minor == 0 {
                return Err(Error::Ambiguous);
            }
            Ok(Some(Framing::Chunked))
        }
        (Some(length), None) => {
            let length = length.trim_ascii();
            let is_number = !length.is_empty() && length.iter().all(u8::is_ascii_digit);
            if !is_number || lengths.next().is_some() {
                return Err(Error::Ambiguous);
            }
            std::str::from_utf8(length)
                .ok()
                .and_then(|text| text.parse().ok())
                .map(|length| Some(Framing::Length(length)))
                .ok_or(Error::Ambiguous)
        }
    }
}
