/** Test harness: a blackboard with some features under a virtual clock. */

import type {Action} from '../../engine/action.js';
import type {Blackboard} from '../../engine/blackboard.js';
import {createEngine} from '../../engine/engine.js';
import type {Feature} from '../../engine/engine.js';
import type {Event, TimerKey} from '../../engine/event.js';
import type {GroupObject} from '../../model/group.js';
import type {PeerMessage} from '../../model/message.js';

export const GROUP = 'g';

/** Returns the `self` slice of a host of data centre `a`. */
export function createSelf(host: string): Blackboard['self'] {
  return {
    host,
    dataCentre: 'a',
    incarnation: 'i',
    startedAt: 0,
    drainDeadline: null,
    drainNoticeUntil: null,
    isDrained: false,
  };
}

/** Dispatches events to features and collects their actions. */
export class BoardHarness {
  now = 0;
  readonly actions: Action[] = [];
  private patch: (board: Blackboard) => Blackboard = board => board;
  private timers: {at: number; timer: TimerKey}[] = [];
  private readonly engine;

  constructor(board: Blackboard, features: readonly Feature[]) {
    this.engine = createEngine(board);
    this.engine.registerFeature({
      name: 'patch',
      handlers: {
        group_changed: current => ({board: this.patch(current), actions: []}),
      },
    });
    features.forEach(feature => this.engine.registerFeature(feature));
  }

  get board(): Blackboard {
    return this.engine.getBoard();
  }

  /** Dispatches an event and returns the resulting actions. */
  feed(event: Event): readonly Action[] {
    const ctx = {now: this.now, random: () => 0.5};
    const actions = this.engine.dispatch(event, ctx);
    this.actions.push(...actions);
    actions
      .filter(action => action.type === 'set_timer')
      .forEach(timer => this.timers.push(timer));
    return actions;
  }

  /** Patches the blackboard directly. */
  change(patch: (board: Blackboard) => Blackboard): void {
    this.patch = patch;
    this.feed({type: 'group_changed', group: GROUP});
  }

  changeGroup(
    part: Partial<GroupObject>,
    view: Partial<Blackboard['view']> = {},
  ): void {
    this.change(board => {
      const old = board.view.groups.get(GROUP)!;
      const value = {...old.value, ...part};
      const groups = board.view.groups.set(GROUP, {...old, value});
      return {...board, view: {...board.view, ...view, groups}};
    });
  }

  advance(ms: number): void {
    const until = this.now + ms;
    for (;;) {
      const due = this.timers
        .filter(timer => timer.at <= until)
        .sort((a, b) => a.at - b.at)[0];
      if (due === undefined) {
        break;
      }
      this.timers = this.timers.filter(timer => timer !== due);
      this.now = Math.max(this.now, due.at);
      this.feed({type: 'timer', timer: due.timer});
    }
    this.now = until;
  }

  message(host: string, msg: PeerMessage): void {
    this.feed({type: 'peer_message', host, generation: 1, msg});
  }

  /** Returns the sent messages of a type with their receivers. */
  sent<T extends PeerMessage['type']>(
    type: T,
  ): readonly {host: string; msg: Extract<PeerMessage, {type: T}>}[] {
    return this.actions
      .filter(action => action.type === 'send')
      .filter(({msg}) => msg.type === type)
      .map(({host, msg}) => ({
        host,
        msg: msg as Extract<PeerMessage, {type: T}>,
      }));
  }
}
