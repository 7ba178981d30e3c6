@0xc6f1a53f0be0b2d1;
# Messages between the nodes of the system. Every struct mirrors the frozen dataclass of the same
# name, field by field (snake_case there, camelCase here). Lists of numbers stand side by side
# instead of a list of structs: encoding and decoding 150 sub-queries takes 1.7 us each that way and
# 11 us as structs (docs/wire.md).

struct Hello {
  name @0 :Text;
  role @1 :Text;
  failureDomain @2 :Text;
  incarnation @3 :UInt64;
  nonce @4 :Data;
  answersNonce @5 :Data;
  mac @6 :Data;
}

struct SubBatch {
  callId @0 :UInt64;
  receiverIncarnation @1 :UInt64;
  registerRevision @2 :UInt64;
  collection @3 :Text;
  version @4 :UInt64;
  text @5 :Text;
  limit @6 :UInt16;
  deadlineMs @7 :UInt32;
  weight @8 :UInt16;
  parts @9 :List(UInt16);
  attempts @10 :List(UInt8);
  upstreamIds @11 :List(UInt64);
  los @12 :List(UInt32);
  his @13 :List(UInt32);
}

struct ReplyBatch {
  registerRevision @0 :UInt64;
  callIds @1 :List(UInt64);
  parts @2 :List(UInt16);
  attempts @3 :List(UInt8);
  outcomes @4 :List(UInt8);
  retryAfterMs @5 :List(UInt32);
  queueMs @6 :List(UInt32);
  serviceMs @7 :List(UInt32);
  bodies @8 :List(Data);
}

struct CancelBatch {
  callIds @0 :List(UInt64);
  parts @1 :List(UInt16);
  attempts @2 :List(UInt8);
}

struct UpstreamReport {
  upstreamIds @0 :List(UInt64);
  states @1 :List(UInt8);
  queued @2 :List(UInt32);
  inFlight @3 :List(UInt16);
  slots @4 :List(UInt16);
  relayNowMs @5 :UInt64;
}

struct HoldingReport {
  upstreamId @0 :UInt64;
  incarnation @1 :UInt64;
  collections @2 :List(Text);
  versions @3 :List(UInt64);
  totalRecords @4 :List(UInt64);
  los @5 :List(UInt32);
  his @6 :List(UInt32);
  records @7 :List(UInt64);
}

struct KeyClaim {
  call @0 :UInt64;
  fromEntry @1 :Text;
  fromIncarnation @2 :UInt64;
  toEntry @3 :Text;
  key @4 :Text;
  digest @5 :Data;
  ticket @6 :Text;
  step @7 :UInt8;
}

struct KeyClaimReply {
  call @0 :UInt64;
  toIncarnation @1 :UInt64;
  fromEntry @2 :Text;
  key @3 :Text;
  ticket @4 :Text;
  digest @5 :Data;
  code @6 :Text;
  retryAfterMs @7 :UInt32;
}

struct RunRequest {
  entry @0 :Text;
  entryIncarnation @1 :UInt64;
  relay @2 :Text;
  relayIncarnation @3 :UInt64;
  ticket @4 :Text;
  action @5 :Text;
  body @6 :Data;
  relayDeadlineMs @7 :UInt64;
  upstreamId @8 :UInt64;
}

struct RunReply {
  entryIncarnation @0 :UInt64;
  ticket @1 :Text;
  kind @2 :Text;
  code @3 :Text;
  retryAfterMs @4 :UInt32;
  result @5 :Data;
}

struct TicketForward {
  call @0 :UInt64;
  fromEntry @1 :Text;
  fromIncarnation @2 :UInt64;
  ownerEntry @3 :Text;
  ownerIncarnation @4 :UInt64;
  ticket @5 :Text;
  body @6 :Data;
  read @7 :Bool;
}

struct TicketForwardReply {
  call @0 :UInt64;
  toIncarnation @1 :UInt64;
  ticket @2 :Text;
  kind @3 :Text;
  code @4 :Text;
  message @5 :Text;
  todo @6 :Text;
  retryAfterMs @7 :UInt32;
  result @8 :Data;
}

struct Member {
  name @0 :Text;
  role @1 :Text;
  failureDomain @2 :Text;
  ip @3 :Text;
  peerPort @4 :UInt16;
  incarnation @5 :UInt64;
  state @6 :Text;
  counter @7 :UInt64;
}

struct ConfigDigest {
  registerRevision @0 :UInt64;
  rulesRevision @1 :UInt64;
  vmsRevision @2 :UInt64;
  registerHash @3 :UInt64;
  rulesHash @4 :UInt64;
  vmsHash @5 :UInt64;
  platformContact @6 :UInt64;
  platformAgeMs @7 :UInt64;
}

struct ConfigNotice {
  revisions @0 :ConfigDigest;
  answer @1 :Bool;
}

struct ConfigRequest {
  key @0 :Text;
  baseRevision @1 :UInt64;
  baseHash @2 :UInt64;
  revision @3 :UInt64;
  contentHash @4 :UInt64;
  offset @5 :UInt32;
}

struct ConfigChunk {
  key @0 :Text;
  revision @1 :UInt64;
  contentHash @2 :UInt64;
  baseRevision @3 :UInt64;
  offset @4 :UInt32;
  totalBytes @5 :UInt32;
  data @6 :Data;
}

struct ConfigBusy {
  key @0 :Text;
  retryAfterMs @1 :UInt32;
}

struct Probe {
  sequence @0 :UInt64;
  sender @1 :Member;
  revisions @2 :ConfigDigest;
  receiverName @3 :Text;
  receiverIncarnation @4 :UInt64;
  updates @5 :List(Member);
}

struct ProbeAck {
  sequence @0 :UInt64;
  sender @1 :Member;
  revisions @2 :ConfigDigest;
  subject @3 :Member;
  updates @4 :List(Member);
}

struct IndirectProbe {
  sequence @0 :UInt64;
  sender @1 :Member;
  revisions @2 :ConfigDigest;
  target @3 :Member;
  updates @4 :List(Member);
}

struct WrongReceiver {
  sequence @0 :UInt64;
  sender @1 :Member;
  intendedName @2 :Text;
  intendedIncarnation @3 :UInt64;
}

struct MembersRequest {
  sequence @0 :UInt64;
  sender @1 :Member;
  revisions @2 :ConfigDigest;
  failureDomain @3 :Text;
  afterName @4 :Text;
}

struct MembersPage {
  sequence @0 :UInt64;
  sender @1 :Member;
  revisions @2 :ConfigDigest;
  updates @3 :List(Member);
  nextName @4 :Text;
}

struct Envelope {
  union {
    hello @0 :Hello;
    subBatch @1 :SubBatch;
    replyBatch @2 :ReplyBatch;
    cancelBatch @3 :CancelBatch;
    upstreamReport @4 :UpstreamReport;
    holdingReport @5 :HoldingReport;
    runRequest @6 :RunRequest;
    runReply @7 :RunReply;
    ticketForward @8 :TicketForward;
    ticketForwardReply @9 :TicketForwardReply;
    keyClaim @10 :KeyClaim;
    keyClaimReply @11 :KeyClaimReply;
    probe @12 :Probe;
    probeAck @13 :ProbeAck;
    indirectProbe @14 :IndirectProbe;
    wrongReceiver @15 :WrongReceiver;
    membersRequest @16 :MembersRequest;
    membersPage @17 :MembersPage;
    configNotice @18 :ConfigNotice;
    configRequest @19 :ConfigRequest;
    configChunk @20 :ConfigChunk;
    configBusy @21 :ConfigBusy;
  }
}
