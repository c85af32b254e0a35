import {Packr} from 'msgpackr';
import {describe, expect, it} from 'vitest';
import type {PeerMessage} from '@lacewingroad/core';
import {decodeFrame, encodeFrame} from '@lacewingroad/peer';

const STAMP = '0000000000001.000000';
const STAMP_BYTES = 22;
const packr = new Packr({useRecords: false});

const CHANGE = {key: 'groups/g', version: 1, revision: 2, value: null};

const MESSAGES: readonly PeerMessage[] = [
  {type: 'sync', ask: 1, since: 2, isDraining: false},
  {type: 'sync', ask: 1, since: 2, isDraining: true},
  {
    type: 'synced',
    ask: 1,
    revision: 2,
    ageMs: null,
    changes: [],
    silentHosts: [],
    drainingHosts: [],
  },
  {
    type: 'synced',
    ask: 1,
    revision: 2,
    ageMs: 3,
    changes: [CHANGE],
    silentHosts: ['a-1'],
    drainingHosts: ['a-2', 'a-3'],
  },
  {type: 'session_stored', ask: 4},
];

function encodeBatch(...msgs: readonly PeerMessage[]): Buffer {
  return encodeFrame({type: 'batch', stamp: STAMP, msgs});
}

describe('a batch', () => {
  it('round-trips every message type', () => {
    expect(decodeFrame(encodeBatch(...MESSAGES))).toEqual({
      type: 'batch',
      stamp: STAMP,
      msgs: MESSAGES,
    });
  });

  it('encodes a sync request and its answer in a few bytes', () => {
    const [request, , answer] = MESSAGES;
    expect(encodeBatch(request!).length).toBeLessThan(STAMP_BYTES + 15);
    expect(encodeBatch(answer!).length).toBeLessThan(STAMP_BYTES + 15);
  });

  it.each([
    ['without a stamp', [1, ['sync', 1, 2]]],
    ['with an unknown compact form', [STAMP, ['constructor', 1]]],
    ['with a sync request without a revision', [STAMP, ['sync', 1]]],
    [
      'with an answer whose hosts are not a list',
      [STAMP, ['synced', 1, 2, 3, 4]],
    ],
    [
      'with an answer whose hosts are numbers',
      [STAMP, ['synced', 1, 2, 3, [4]]],
    ],
    ['with a message that is a number', [STAMP, 1]],
    ['that is empty', []],
  ])('is refused %s', (_name, value) => {
    expect(decodeFrame(packr.pack(value))).toBeNull();
  });
});
