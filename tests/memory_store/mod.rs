//! Store in memory with switchable failures, and a runner of the command against it.
#![allow(dead_code, unreachable_pub, reason = "each test program uses a part")]

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::rc::Rc;

use anstream::StripStream;
use celerylever::command::{Store, execute};
use celerylever::document::Document;
use celerylever::platform::{
    DeleteOutcome, Kind, Listing, Object, PutOutcome, StoreError, VmListing, VmState,
};

/// Address given to the command; nothing listens there.
pub const STORE: &str = "127.0.0.1:9";

#[derive(Clone, Copy, Default, PartialEq)]
pub enum Failure {
    #[default]
    None,
    Unreachable,
    AnswerLost,
    AnswerInvalid,
    LostRace,
}

#[derive(Default)]
pub struct State {
    pub version: u64,
    pub objects: BTreeMap<(Kind, String), Object>,
    vms: Vec<VmListing>,
    failure: Failure,
}

#[derive(Clone, Default)]
pub struct Memory(pub Rc<RefCell<State>>);

impl Memory {
    pub fn insert(&self, kind: Kind, name: &str, value: &str) -> u64 {
        let mut state = self.0.borrow_mut();
        state.version += 1;
        let object = Object {
            kind,
            name: name.into(),
            version: state.version,
            write_id: "w".into(),
            value: value.into(),
        };
        state.objects.insert((kind, name.into()), object);
        state.version
    }

    pub fn value(&self, name: &str) -> Option<String> {
        let state = self.0.borrow();
        let kind = match name.starts_with("history.") {
            true => Kind::History,
            false => Kind::Document,
        };
        state
            .objects
            .get(&(kind, name.into()))
            .map(|object| object.value.clone())
    }

    pub fn clear_vms(&self) {
        self.0.borrow_mut().vms.clear();
    }

    pub fn add_vm(&self, vm: &str, state: VmState, document_version: u64) {
        self.0.borrow_mut().vms.push(VmListing {
            vm: vm.into(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            availability_zone: "a".into(),
            state,
        });
        let status = format!(
            r#"{{"vm":"{vm}","incarnation":1,"availability_zone":"a","document_version":{document_version},"state":"serving"}}"#
        );
        self.insert(Kind::Status, vm, &status);
    }

    pub fn fail(&self, failure: Failure) {
        self.0.borrow_mut().failure = failure;
    }

    fn check(&self) -> Result<(), StoreError> {
        match self.0.borrow().failure {
            Failure::Unreachable => Err(StoreError::Connect("refused".into())),
            _ => Ok(()),
        }
    }
}

impl Store for Memory {
    async fn get(&self, kind: Kind, name: &str) -> Result<Option<Object>, StoreError> {
        self.check()?;
        Ok(self
            .0
            .borrow()
            .objects
            .get(&(kind, name.to_owned()))
            .cloned())
    }

    async fn put(
        &self,
        kind: Kind,
        name: &str,
        expected_version: u64,
        value: &str,
    ) -> Result<PutOutcome, StoreError> {
        self.check()?;
        if name == "current" && self.0.borrow().failure == Failure::LostRace {
            let other = small().replace("weight = 1", "weight = 9");
            self.insert(kind, name, &other);
        }
        let found = self.get(kind, name).await?;
        if found.as_ref().map_or(0, |object| object.version) != expected_version {
            return Ok(PutOutcome::Conflict(found));
        }
        let version = self.insert(kind, name, value);
        match self.0.borrow().failure {
            Failure::AnswerInvalid if name == "current" => {
                Err(StoreError::InvalidResponse("no version".into()))
            }
            Failure::AnswerLost if name == "current" => Ok(PutOutcome::Unknown),
            _ => Ok(PutOutcome::Applied(version)),
        }
    }

    async fn delete(
        &self,
        kind: Kind,
        name: &str,
        _expected_version: u64,
    ) -> Result<DeleteOutcome, StoreError> {
        self.0.borrow_mut().objects.remove(&(kind, name.to_owned()));
        Ok(DeleteOutcome::Deleted(0))
    }

    async fn list(&self, kind: Kind) -> Result<Listing, StoreError> {
        self.check()?;
        let state = self.0.borrow();
        let items = state.objects.values().filter(|object| object.kind == kind);
        Ok(Listing {
            version: state.version,
            items: items.cloned().collect(),
        })
    }

    async fn list_vms(&self) -> Result<Vec<VmListing>, StoreError> {
        self.check()?;
        Ok(self.0.borrow().vms.clone())
    }
}

pub struct Done {
    pub code: u8,
    pub out: String,
    pub err: String,
}

pub async fn command(store: &Memory, line: &str) -> Done {
    let args = std::iter::once("celerylever").chain(line.split_whitespace());
    let args: Vec<OsString> = args.map(Into::into).collect();
    let (mut out, mut err) = (StripStream::new(Vec::new()), StripStream::new(Vec::new()));
    let code = execute(args, |_| store.clone(), &mut out, &mut err).await;
    let text = |stream: StripStream<Vec<u8>>| String::from_utf8(stream.into_inner()).expect("text");
    Done {
        code,
        out: text(out),
        err: text(err),
    }
}

pub async fn apply(store: &Memory, text: &str, options: &str) -> Done {
    let file = file(text);
    let path = file.path().display();
    command(store, &format!("apply {path} --store {STORE} {options}")).await
}

pub fn file(text: &str) -> tempfile::NamedTempFile {
    let file = tempfile::NamedTempFile::new().expect("file");
    std::fs::write(file.path(), text).expect("written");
    file
}

pub fn small() -> String {
    let text = "[document]\nenvironment = trial\n[customer.c]\nrate_tokens_per_s = 10\n\
                burst_tokens = 100\nweight = 1\n[upstream.p]\naddress = 127.0.0.1:2\n\
                availability_zone = a\nkind = plain_service\ncredential = secret-1\n";
    Document::parse(text).expect("valid").to_ini()
}
