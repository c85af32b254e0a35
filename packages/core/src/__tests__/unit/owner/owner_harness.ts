/** Test harness: feeds events to the pool owner and collects its actions. */

import {Map as ImmutableMap} from 'immutable';
import type {Action, ActionOf} from '../../../engine/action.js';
import type {Blackboard} from '../../../engine/blackboard.js';
import {unchanged} from '../../../engine/engine.js';
import type {Feature} from '../../../engine/engine.js';
import type {ConnAnswer, Event} from '../../../engine/event.js';
import {
  createControlSlices,
  createEndpointView,
} from '../../../control/state.js';
import {createEntrySlices} from '../../../entry/state.js';
import type {GroupObject} from '../../../model/group.js';
import type {RunMessage} from '../../../model/message.js';
import type {Outcome} from '../../../model/outcome.js';
import {ownerFeature} from '../../../owner/owner_feature.js';
import type {QueuePolicyName} from '../../../owner/queue_policy.js';
import {createOwnerSlices} from '../../../owner/state.js';
import {BoardHarness, GROUP, createSelf} from '../board_harness.js';
import {createRunMessage} from '../run_message.js';

export const HOST = 'h1';
export const PEER = 'h9';
export const PRIMARY = 'e1';
export const REPLICA = 'e2';

export type SentStatement = ActionOf<'run_conn'>;

function createGroup(slots: number): GroupObject {
  const endpoint = {port: 1, slots, maxConnections: 12, leaving: false};
  return {
    id: GROUP,
    term: 3,
    primary: PRIMARY,
    fence: null,
    starts: [{term: 3, index: 100}],
    endpoints: [PRIMARY, REPLICA].map(id => ({
      ...endpoint,
      id,
      dataCentre: 'a',
      address: id,
    })),
    owners: {[PRIMARY]: HOST, [REPLICA]: 'h2'},
  };
}

function createBoard(slots: number, policy: QueuePolicyName): Blackboard {
  const control = createControlSlices();
  const status = (role: 'primary' | 'replica', index: number) => ({
    ...createEndpointView(),
    status: {
      role,
      position: {term: 3, index},
      dataAgeMs: 0,
      follows: null,
    },
    statusAt: 0,
    dataAsOf: 0,
    lastFault: null,
  });
  return {
    self: createSelf(HOST),
    ...control,
    view: {
      ...control.view,
      freshAt: 0,
      groups: ImmutableMap({
        [GROUP]: {version: 1, revision: 1, value: createGroup(slots)},
      }),
    },
    endpoints: {
      ...control.endpoints,
      views: ImmutableMap({
        [PRIMARY]: status('primary', 200),
        [REPLICA]: status('replica', 150),
      }),
      owned: ImmutableMap({[PRIMARY]: GROUP, [REPLICA]: GROUP}),
    },
    ...createOwnerSlices(policy),
    ...createEntrySlices(10),
  };
}

export class OwnerHarness extends BoardHarness {
  private nextRequest = 1;
  /** Whether connections open as soon as they are requested. */
  opensAtOnce = true;
  /** The run message that was sent last. */
  lastRequest: RunMessage | null = null;

  /** Endpoints for which a probe was requested, in order. */
  readonly probesWanted: readonly string[];

  constructor(slots = 1, policy: QueuePolicyName = 'ranked') {
    const wanted: string[] = [];
    const probeRecorder: Feature = {
      name: 'probe_recorder',
      handlers: {
        probe_wanted: (board, {endpoint}) => {
          wanted.push(endpoint);
          return unchanged(board);
        },
      },
    };
    super(createBoard(slots, policy), [ownerFeature, probeRecorder]);
    this.probesWanted = wanted;
  }

  own(endpoint = PRIMARY): void {
    this.feed({type: 'ownership_changed', endpoint, isOwner: true});
  }

  override feed(event: Event): readonly Action[] {
    const actions = super.feed(event);
    if (this.opensAtOnce) {
      actions
        .filter(action => action.type === 'open_conn')
        .forEach(({endpoint, conn}) =>
          this.feed({type: 'conn_opened', endpoint, conn}),
        );
    }
    return actions;
  }

  /** Changes the group and marks the view as fresh. */
  override changeGroup(part: Partial<GroupObject>): void {
    super.changeGroup(part, {freshAt: this.now});
  }

  refresh(): void {
    this.changeGroup({});
  }

  observe(endpoint: string, index: number): void {
    this.change(board => {
      const view = board.endpoints.views.get(endpoint)!;
      const position = {term: 3, index};
      const status = {...view.status!, position};
      const probedAt = this.now;
      const updated = {...view, status, statusAt: probedAt, dataAsOf: probedAt};
      const views = board.endpoints.views.set(endpoint, {...updated, probedAt});
      return {...board, endpoints: {...board.endpoints, views}};
    });
    this.feed({type: 'endpoint_observed', endpoint});
  }

  /** Simulates a probe of an endpoint that is not answered. */
  failProbe(endpoint: string): void {
    this.change(board => {
      const view = board.endpoints.views.get(endpoint)!;
      const updated = {...view, probedAt: this.now, failingSince: this.now};
      const views = board.endpoints.views.set(endpoint, updated);
      return {...board, endpoints: {...board.endpoints, views}};
    });
    this.feed({type: 'endpoint_observed', endpoint});
  }

  /** Sends a request, by default a read; `part` overrides its fields. */
  run(part: Partial<RunMessage> = {}): string {
    const request = part.request ?? `r${this.nextRequest++}`;
    this.lastRequest = {
      ...createRunMessage(PRIMARY, request),
      term: part.isWrite ? 3 : null,
      ...part,
    };
    this.message(PEER, this.lastRequest);
    return request;
  }

  write(part: Partial<RunMessage> = {}): string {
    return this.run({isWrite: true, ...part});
  }

  sentStatements(): readonly SentStatement[] {
    return this.actions.filter(action => action.type === 'run_conn');
  }

  lastStatement(): SentStatement {
    return this.sentStatements().at(-1)!;
  }

  reply(answer: ConnAnswer, sent = this.lastStatement()): void {
    const {endpoint, conn, step} = sent;
    this.feed({type: 'conn_answered', endpoint, conn, step, answer});
  }

  ok(
    part: {index?: number; inTx?: boolean; affectedRows?: number} = {},
    sent = this.lastStatement(),
  ): void {
    const {index, inTx = false, affectedRows = 1} = part;
    const position = index === undefined ? null : {term: 3, index};
    const result = {type: 'ok', affectedRows, insertId: '7', info: ''} as const;
    this.reply({type: 'result', result, position, inTx}, sent);
  }

  rows(cells: readonly string[]): void {
    const row = cells.map(cell => Buffer.from(cell));
    const result = {type: 'rows', columns: [], rows: [row]} as const;
    this.reply({type: 'result', result, position: null, inTx: false});
  }

  error(errno: number): void {
    const error = {errno, sqlState: 'HY000', message: 'no'};
    this.reply({type: 'error', error});
  }

  loseConn(sent = this.lastStatement()): void {
    const {endpoint, conn} = sent;
    const fault = 'reset';
    this.feed({type: 'conn_closed', endpoint, conn, fault, wasOpen: true});
  }

  outcomes(request: string): readonly Outcome[] {
    return this.sent('ran')
      .filter(({msg}) => msg.request === request)
      .map(({msg}) => msg.outcome);
  }

  /** Returns the type of a request's outcome, with its reason if it has one. */
  outcomeOf(request: string): string | undefined {
    const all = this.outcomes(request);
    if (all.length > 1) {
      throw new Error(`Request ${request} was answered ${all.length} times.`);
    }
    const outcome = all[0];
    return outcome !== undefined && 'reason' in outcome
      ? `${outcome.type} ${outcome.reason}`
      : outcome?.type;
  }

  isClosed(conn: number): boolean {
    return this.actions.some(
      action => action.type === 'close_conn' && action.conn === conn,
    );
  }

  /** Begins a transaction and returns its id and connection. */
  begin(part: Partial<RunMessage> = {}): {tx: string; conn: number} {
    const tx = this.run({mode: 'begin', term: 3, ...part});
    const {conn} = this.lastStatement();
    this.ok({inTx: true});
    return {tx, conn};
  }
}

/** Creates a harness whose host owns the primary's pool. */
export function startHarness(
  slots = 1,
  policy: QueuePolicyName = 'ranked',
): OwnerHarness {
  const harness = new OwnerHarness(slots, policy);
  harness.own();
  return harness;
}
