/**
 * Two connections to one host. One may be half-open: the network drops its
 * traffic, and the sender does not notice until the receive timeout.
 */

import {beforeEach, describe, expect, it} from 'vitest';
import {createVirtualRuntime} from '@lacewingroad/runtime';
import type {Link} from '../../link.js';
import {createPeer} from '../../peer.js';
import type {Peer} from '../../peer.js';
import type {PeerEvent, TypedMessage} from '../../typed_message.js';

const MSG: TypedMessage = {type: 'cancel'};

/** A link that records what is sent on it. */
class FakeLink implements Link {
  readonly sent: TypedMessage[] = [];
  isTerminated = false;
  lastReceivedAt = 0;
  onClosed: () => void = () => undefined;

  readonly send = (msg: TypedMessage): void => {
    this.sent.push(msg);
  };
  readonly getLastReceivedAt = (): number => this.lastReceivedAt;
  readonly check = (): void => undefined;
  readonly resetReceiveTimeout = (): void => undefined;
  readonly terminate = (): void => {
    if (!this.isTerminated) {
      this.isTerminated = true;
      this.onClosed();
    }
  };
  readonly close = (): void => undefined;
}

describe('a peer with two connections', () => {
  let events: PeerEvent[];
  let peer: Peer;
  let own: FakeLink;
  let accepted: FakeLink;

  beforeEach(() => {
    events = [];
    peer = createPeer({
      runtime: createVirtualRuntime(1),
      host: 'b-1',
      emit: event => events.push(event),
      connect: () => null,
    });
    own = new FakeLink();
    accepted = new FakeLink();
    for (const link of [own, accepted]) {
      link.onClosed = () => peer.handleClosed(link);
    }
    peer.open('own', own, 'i1');
    peer.open('accepted', accepted, 'i1');
  });

  const countPeerDown = (): number =>
    events.filter(({type}) => type === 'peer_down').length;

  it('sends on the connection that received data most recently', () => {
    own.lastReceivedAt = 1_000;
    accepted.lastReceivedAt = 5_000;
    peer.send(MSG);
    expect([own.sent, accepted.sent]).toEqual([[], [MSG]]);
    own.lastReceivedAt = 5_001;
    peer.send(MSG);
    expect([own.sent, accepted.sent]).toEqual([[MSG], [MSG]]);
  });

  it('closes both connections when one ends, so that the other side detects lost messages', () => {
    own.terminate();
    expect(accepted.isTerminated).toBe(true);
    expect(countPeerDown()).toBe(1);
    expect(events.at(-1)!.type).toBe('peer_down');
  });
});
