/** Checks a planned stop of one host after all faults are cleared. */

import type {CallerAnswer, FakeCaller} from '../caller.js';
import {readErrno} from '../caller.js';
import {parseRowId, formatInsert} from '../statements.js';
import type {TrackedTx} from './tx_oracle.js';
import type {FuzzWorld} from './world.js';

/** Probability that a run ends with a planned stop. */
const STOP_PROBABILITY = 0.1;
/** Time for roles and owners to become stable, in milliseconds. */
const SETTLE_MS = 12_000;
/** A host must stop within this time, in milliseconds. */
const STOP_MS = 8_000;
/** Rounds before the stop, which update the estimates of service times. */
const WARM_UP_ROUNDS = 25;
/** Interval between two rounds of requests, in milliseconds. */
const ROUND_MS = 40;
/** Every statement must be answered within this time, in milliseconds. */
const ANSWER_TIMEOUT_MS = 6_000;

/** Requests sent before and during the stop. */
interface Workload {
  /** Number of statements without an answer. */
  pendingCount: number;
  serial: number;
  /** Whether statements sent from now on must succeed. */
  mustSucceed: boolean;
  /** Sends one write and one transaction of each service at each live host. */
  readonly sendRound: () => void;
}

/** Creates a workload that has sent nothing. */
function createWorkload(world: FuzzWorld): Workload {
  const {site, oracle, log} = world;

  /** Sends statements one after another, then closes the connection. */
  const run = (
    caller: FakeCaller,
    statements: readonly string[],
    tx: TrackedTx,
  ): void => {
    const [sql, ...others] = statements;
    if (sql === undefined) {
      caller.close();
      return;
    }
    if (sql === 'COMMIT') {
      tx.commit();
    }
    workload.pendingCount++;
    const {mustSucceed} = workload;
    caller.send(sql, (answer: CallerAnswer) => {
      workload.pendingCount--;
      if (answer.reply === null || readErrno(answer) !== null) {
        const {reply} = answer;
        const result =
          reply?.type === 'error'
            ? `${reply.error.errno} ${reply.error.message}`
            : 'closed';
        if (mustSucceed) {
          oracle.fail(
            `a planned stop made ${sql} fail at ${caller.host.node.id}: ${result}`,
          );
        }
        return;
      }
      run(caller, others, tx);
    });
  };

  const send = (service: string, templates: readonly string[]): void =>
    site.hostIds.forEach(host => {
      const {process, engine} = site.hosts.get(host)!;
      const isStopping = engine.getBoard().self.drainDeadline !== null;
      if (process.isDead() || isStopping) {
        return;
      }
      const prefix = `stop${++workload.serial}`;
      log(`${prefix}@${host} sends ${templates.length} statements`);
      const statements = templates.map((template, index) =>
        template.replace('?', `${prefix}.${index}`),
      );
      const tx = oracle.beginTx();
      if (statements.length > 1) {
        statements
          .map(parseRowId)
          .filter(row => row.startsWith(prefix))
          .forEach(tx.addRow);
      }
      run(site.openCaller(host, {service}), statements, tx);
    });

  const insert = formatInsert('?', "/*kind='payment'*/ ");
  const workload: Workload = {
    pendingCount: 0,
    serial: 0,
    mustSucceed: false,
    sendRound: () => {
      for (const service of ['sg', 'sh']) {
        send(service, [insert]);
        send(service, ["/*kind='payment'*/ BEGIN", insert, insert, 'COMMIT']);
      }
    },
  };
  return workload;
}

/** In some runs, drains a write owner or any host and checks all answers. */
export function checkPlannedStop(world: FuzzWorld): void {
  const {site, oracle, log} = world;
  if (site.runtime.random() >= STOP_PROBABILITY) {
    return;
  }
  site.runFor(SETTLE_MS);
  const {owners, primary} = site.readGroup('g');
  const randomHost = world.hostId(Math.floor(site.runtime.random() * 6));
  const id =
    site.runtime.random() < 0.5 ? (owners[primary] ?? randomHost) : randomHost;
  const host = site.hosts.get(id)!;
  const workload = createWorkload(world);
  const stopDeadline = site.runtime.now() + STOP_MS;
  log(`--- planned stop of ${id}`);
  // Earlier faults distort the estimates of service times; update them first.
  for (let round = 0; round < WARM_UP_ROUNDS; round++) {
    workload.sendRound();
    site.runFor(ROUND_MS);
  }
  workload.mustSucceed = true;
  workload.sendRound();
  host.push({type: 'drain', deadline: stopDeadline});
  while (!host.isDrained() && site.runtime.now() < stopDeadline) {
    workload.sendRound();
    site.runFor(ROUND_MS);
  }
  if (!host.isDrained()) {
    oracle.fail(
      `${id} did not stop within ${STOP_MS} ms although there was no fault`,
    );
  }
  site.runFor(ANSWER_TIMEOUT_MS);
  if (workload.pendingCount > 0) {
    oracle.fail(
      `${workload.pendingCount} statements of a planned stop have no answer`,
    );
  }
}
