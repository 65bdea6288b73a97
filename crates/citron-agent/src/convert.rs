//! Conversions between the library's types and the messages on the wire.

use citron::member::{Addresses, Body, Message, Origin, Record, State};
use citron_platform::Host;
use citron_wire::{self as wire, MemberState, gossip};

/// Converts a member's record.
pub fn member(record: &Record, listed: bool) -> wire::Member {
    let state = match record.state {
        State::Alive => MemberState::Alive,
        State::Leaving => MemberState::Leaving,
        State::Suspect => MemberState::Suspect,
        State::Dead => MemberState::Dead,
    };
    wire::Member {
        host: record.host.clone(),
        domain: record.domain.clone(),
        incarnation: record.incarnation,
        state: state.into(),
        gossip: record.addresses.gossip.clone(),
        control: record.addresses.control.clone(),
        admin: record.addresses.admin.clone(),
        proxy: record.addresses.proxy.clone(),
        loans: record.addresses.loans.clone(),
        revision: record.revision,
        listed,
    }
}

/// Converts a message to a member's record, or returns `None` if its state is unknown.
pub fn record(member: wire::Member) -> Option<Record> {
    let state = match member.state() {
        MemberState::Alive => State::Alive,
        MemberState::Leaving => State::Leaving,
        MemberState::Suspect => State::Suspect,
        MemberState::Dead => State::Dead,
        MemberState::Unspecified => return None,
    };
    Some(Record {
        host: member.host,
        domain: member.domain,
        incarnation: member.incarnation,
        state,
        addresses: Addresses {
            gossip: member.gossip,
            control: member.control,
            admin: member.admin,
            proxy: member.proxy,
            loans: member.loans,
        },
        revision: member.revision,
    })
}

/// Converts a membership message to a datagram.
pub fn datagram(message: Message) -> wire::Gossip {
    let body = message.body.map(|body| match body {
        Body::Ping { sequence, origin } => {
            let origin = origin.unwrap_or_else(|| Origin {
                host: String::new(),
                gossip: String::new(),
                sequence: 0,
            });
            gossip::Body::Ping(wire::Ping {
                sequence,
                origin: origin.host,
                origin_gossip: origin.gossip,
                origin_sequence: origin.sequence,
            })
        }
        Body::Ack { sequence, subject, direct_ping_received } => {
            gossip::Body::Ack(wire::Ack { sequence, subject, heard: direct_ping_received })
        }
        Body::PingRequest { sequence, subject } => {
            gossip::Body::PingRequest(wire::PingRequest { sequence, subject })
        }
    });
    wire::Gossip {
        from: message.from,
        incarnation: message.incarnation,
        body,
        updates: message.updates.iter().map(|record| member(record, false)).collect(),
        ..wire::Gossip::default()
    }
}

/// Extracts the membership message from a datagram.
pub fn message(gossip: &wire::Gossip) -> Message {
    let body = gossip.body.clone().map(|body| match body {
        gossip::Body::Ping(ping) => {
            let origin = Origin {
                host: ping.origin,
                gossip: ping.origin_gossip,
                sequence: ping.origin_sequence,
            };
            let origin = (!origin.host.is_empty()).then_some(origin);
            Body::Ping { sequence: ping.sequence, origin }
        }
        gossip::Body::Ack(ack) => Body::Ack {
            sequence: ack.sequence,
            subject: ack.subject,
            direct_ping_received: ack.heard,
        },
        gossip::Body::PingRequest(request) => {
            Body::PingRequest { sequence: request.sequence, subject: request.subject }
        }
    });
    Message {
        from: gossip.from.clone(),
        incarnation: gossip.incarnation,
        body,
        updates: gossip.updates.iter().cloned().filter_map(record).collect(),
    }
}

/// Converts an entry host of the platform's host list.
pub fn entry(host: &Host) -> wire::Member {
    let state = match host.state {
        citron_platform::State::Live => MemberState::Alive,
        citron_platform::State::Leaving => MemberState::Leaving,
    };
    wire::Member {
        host: host.name.clone(),
        domain: host.domain.clone(),
        state: state.into(),
        gossip: host.gossip.clone().unwrap_or_default(),
        control: host.control.clone().unwrap_or_default(),
        listed: true,
        ..wire::Member::default()
    }
}

/// Converts a target of the platform's host list, or returns `None` if it has no address or
/// service.
pub fn target(host: &Host) -> Option<wire::Target> {
    Some(wire::Target {
        name: host.name.clone(),
        service: host.service.clone()?,
        address: host.address.clone()?,
        domain: host.domain.clone(),
        slots: host.slots.unwrap_or(1),
        connections: host.connections.unwrap_or(0),
        leaving: host.state == citron_platform::State::Leaving,
    })
}
