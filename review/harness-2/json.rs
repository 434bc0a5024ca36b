//! A scanner for JSON texts that are known to be well formed: finds the text of a member, without building a tree.

/// Returns the text of the member `key` of the object `text`.
pub fn member<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(bytes, at);
        match bytes.get(at)? {
            b'}' => return None,
            b',' => at += 1,
            _ => {
                let name_end = value_end(bytes, at)?;
                let name = &text[at + 1..name_end - 1];
                at = skip_space(bytes, name_end) + 1;
                at = skip_space(bytes, at);
                let end = value_end(bytes, at)?;
                if name == key {
                    return Some(&text[at..end]);
                }
                at = end;
            }
        }
    }
}

/// Returns the text of a string value without its quotes.
pub fn unquoted(text: &str) -> &str {
    text.trim_matches('"')
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

fn value_end(bytes: &[u8], mut at: usize) -> Option<usize> {
    match bytes.get(at)? {
        b'"' => {
            at += 1;
            loop {
                match bytes.get(at)? {
                    b'\\' => at += 2,
                    b'"' => return Some(at + 1),
                    _ => at += 1,
                }
            }
        }
        b'{' | b'[' => {
            let mut depth = 0;
            loop {
                match bytes.get(at)? {
                    b'"' => {
                        at = value_end(bytes, at)?;
                        continue;
                    }
                    b'{' | b'[' => depth += 1,
                    b'}' | b']' => {
                        depth -= 1;
                        if depth == 0 {
                            return Some(at + 1);
                        }
                    }
                    _ => {}
                }
                at += 1;
            }
        }
        _ => {
            while bytes.get(at).is_some_and(|byte| {
                !matches!(byte, b',' | b'}' | b']') && !byte.is_ascii_whitespace()
            }) {
                at += 1;
            }
            Some(at)
        }
    }
}
