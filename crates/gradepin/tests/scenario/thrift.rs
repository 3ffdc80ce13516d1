//! Client side of the Thrift protocol, implemented independently of the server's codec so that both cannot share a
//! mistake.

fn string(bytes: &[u8]) -> Vec<u8> {
    [&(bytes.len() as u32).to_be_bytes()[..], bytes].concat()
}

fn message(kind: u8, name: &str, seq: i32, arguments: &[u8]) -> Vec<u8> {
    let head = [&[0x80, 1, 0, kind][..], &string(name.as_bytes()), &seq.to_be_bytes()].concat();
    string(&[&head[..], arguments, &[0]].concat())
}

pub fn call(seq: i32, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let pairs = fields.iter().flat_map(|(k, v)| [string(k.as_bytes()), string(v.as_bytes())].concat());
    let map =
        [&[13, 0, 1, 11, 11][..], &(fields.len() as u32).to_be_bytes(), &pairs.collect::<Vec<_>>()].concat();
    message(1, "call", seq, &[&map[..], &[11, 0, 2], &string(body)].concat())
}

pub fn cancel(seq: i32) -> Vec<u8> {
    message(4, "cancel", seq + 1000, &[&[8, 0, 1][..], &seq.to_be_bytes()].concat())
}

pub fn health(seq: i32) -> Vec<u8> {
    message(1, "health", seq, &[2, 0, 1, 0])
}

pub fn unhex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().map(|b| (b as char).to_digit(16).expect("hex") as u8).collect();
    digits.chunks(2).map(|two| two[0] * 16 + two[1]).collect()
}

/// Decodes a frame of the server into an event without its connection.
pub fn event(frame: &[u8]) -> String {
    let mut r = Reader(frame);
    let kind = r.take(4)[3];
    let name = r.text();
    let seq = r.number();
    match (kind, name.as_str()) {
        (4, "draining") => "draining".to_string(),
        (3, _) => {
            assert_eq!(r.take(3), [11, 0, 1]);
            format!("{seq} invalid {}", r.text())
        }
        (2, _) => {
            let [12, 0, field] = r.take(3) else { panic!("the result is not a struct") };
            let body = if *field == 0 { r.body() } else { String::new() };
            let fields = r.fields(if *field == 0 { 2 } else { 1 });
            let good = *field == 0 && r.take(4) == [2, 0, 3, 1];
            let word = match (field, name.as_str()) {
                (0, "call") if good => "served",
                (0, "health") => ["bad", "good"][usize::from(good)],
                (1, "call") => "refused",
                (2, "call") => "failed",
                _ => panic!("unexpected answer to {name}"),
            };
            let words = [&[seq.to_string(), word.to_string(), body][..], &fields].concat();
            words.into_iter().filter(|word| !word.is_empty()).collect::<Vec<_>>().join(" ")
        }
        _ => panic!("unexpected message {name}"),
    }
}

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, len: usize) -> &'a [u8] {
        let (taken, rest) = self.0.split_at(len);
        self.0 = rest;
        taken
    }
    fn number(&mut self) -> i32 {
        i32::from_be_bytes(self.take(4).try_into().expect("four bytes"))
    }
    fn text(&mut self) -> String {
        let len = self.number() as usize;
        String::from_utf8_lossy(self.take(len)).into_owned()
    }
    fn body(&mut self) -> String {
        assert_eq!(self.take(3), [11, 0, 1]);
        self.text()
    }
    fn fields(&mut self, id: u8) -> Vec<String> {
        assert_eq!(self.take(5), [13, 0, id, 11, 11]);
        (0..self.number()).map(|_| format!("{}={}", self.text(), self.text())).collect()
    }
}
