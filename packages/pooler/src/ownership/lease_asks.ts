/**
 * Asks deputies for the promises that a lease needs, and answers such requests.
 * Each request carries the promotions that the owner has requested: the deputies
 * keep them for the next owner while the record cannot be written.
 */

import type {GroupId, HostId} from '@lacewingroad/core';
import type {Runtime} from '@lacewingroad/runtime';
import type {KnownPromotions} from '../decisions/promotion_knowledge.js';
import {DRIFT_MARGIN_MS, PROMISE_MS} from '../decisions/lease.js';
import type {LeaseAskMessage, LeaseGrantMessage} from '../model/message.js';
import type {PromotionLineage} from '../model/ownership.js';
import type {HostPorts} from '../ports.js';
import type {Records} from '../records.js';
import type {RecordState} from './record_state.js';

/** Dependencies of the requests. */
export interface LeaseAsksConfig {
  readonly runtime: Runtime;
  readonly send: HostPorts['send'];
  readonly records: Records<GroupId, RecordState>;
  readonly getState: (group: GroupId) => RecordState;
  /** Returns what this host, as the owner, knows of promotions. */
  readonly readPromotions: (group: GroupId) => PromotionLineage;
  /** Returns the newest revision in the first complete list of records. */
  readonly readInitialRevision: () => number;
}

/** Sends and answers requests for promises. */
export interface LeaseAsks {
  /** Asks the deputies of an owned group. */
  readonly send: (state: RecordState) => void;
  readonly handleAsk: (host: HostId, msg: LeaseAskMessage) => void;
  readonly handleGrant: (host: HostId, msg: LeaseGrantMessage) => void;
  /** Returns what the owner of a generation has told this host as a deputy. */
  readonly readNote: (group: GroupId, generation: number) => KnownPromotions;
}

/** Creates the requests for promises. */
export function createLeaseAsks(cfg: LeaseAsksConfig): LeaseAsks {
  const {runtime, records, getState} = cfg;
  let nextAsk = 1;

  /** Keeps what the newest request of an owner says of promotions. */
  const keepNote = (msg: LeaseAskMessage): void => {
    const {group, generation, ask} = msg;
    const {note} = getState(group);
    const isNewer =
      note === null ||
      generation > note.generation ||
      (generation === note.generation && ask > note.ask);
    if (isNewer) {
      const promotions = msg.promotions ?? null;
      records.update(group, {note: {generation, ask, promotions}});
    }
  };

  return {
    send: ({group, stored, lease, asks, nextDeputies}) => {
      const now = runtime.now();
      const promotions = cfg.readPromotions(group);
      const open = new Map(
        [...asks].filter(([, {sentAt}]) => now - sentAt < PROMISE_MS),
      );
      const asked = [...lease!.deputySets.flat(), ...nextDeputies];
      for (const host of new Set(asked)) {
        const ask = nextAsk++;
        open.set(ask, {host, sentAt: now, promotions});
        cfg.send(host, {
          type: 'lease_ask',
          group,
          generation: stored!.ownership.generation,
          revision: stored!.revision,
          ask,
          promotions,
        });
      }
      records.update(group, {asks: open, askedAt: now});
    },
    handleAsk: (host, msg) => {
      const {group, generation, ask} = msg;
      const state = getState(group);
      const known = state.stored?.ownership ?? null;
      const isCurrent = known === null || generation >= known.generation;
      // An earlier run of this process may have consented to a takeover at any
      // revision up to the initial one; this run promises only at newer ones.
      const isNew =
        msg.revision >
        Math.max(state.consentedRevision, cfg.readInitialRevision());
      const isGranted = isCurrent && isNew && state.lease === null;
      if (isCurrent) {
        keepNote(msg);
      }
      if (isGranted) {
        const promisedUntil = runtime.now() + PROMISE_MS + DRIFT_MARGIN_MS;
        records.update(group, {promisedUntil});
      }
      cfg.send(host, {
        type: 'lease_grant',
        group,
        generation,
        ask,
        isGranted,
        isNoted: isGranted,
      });
    },
    handleGrant: (host, msg) => {
      const {group} = msg;
      const {asks, lease, stored, confirmedNotes} = getState(group);
      const asked = asks.get(msg.ask);
      const isValidGrant =
        lease !== null &&
        asked?.host === host &&
        msg.isGranted &&
        msg.generation === stored?.ownership.generation;
      if (!isValidGrant) {
        return;
      }
      const {sentAt, promotions} = asked;
      const grants = new Map(lease.grants).set(host, sentAt);
      records.update(group, {lease: {...lease, grants}});
      if (msg.isNoted === true) {
        const note = {sentAt, promotions};
        const notes = new Map(confirmedNotes).set(host, note);
        records.update(group, {confirmedNotes: notes});
      }
    },
    readNote: (group, generation) => {
      const {note} = getState(group);
      return note?.generation === generation ? note.promotions : null;
    },
  };
}
