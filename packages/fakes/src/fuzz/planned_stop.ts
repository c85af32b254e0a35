/** A planned stop of one host at the end of a run, with no fault left. */

import type {CallerAnswer, FakeCaller} from '../caller.js';
import {readErrno} from '../caller.js';
import {findRowId, formatInsert} from '../statements.js';
import type {AskedTx} from './tx_oracle.js';
import type {FuzzWorld} from './world.js';

/** Share of the runs that end with a planned stop. */
const STOP_SHARE = 0.1;
/** Time for roles and owners to settle after the faults, in milliseconds. */
const SETTLE_MS = 12_000;
/** Time that a host may take to stop, in milliseconds. */
const STOP_MS = 8_000;
/** Rounds before the stop that bring estimates of load up to date. */
const WARM_UP_ROUNDS = 25;
/** Time between two rounds of requests, in milliseconds. */
const ROUND_MS = 40;
/** Time after which every statement has been answered, in milliseconds. */
const ANSWER_MS = 6_000;

/** Statements of the callers of a stop, and those without a good answer. */
interface StopWork {
  waiting: number;
  serial: number;
  /** Whether what is sent from now on must be done. */
  isJudged: boolean;
  readonly sendRound: () => void;
}

/** Sends one write and one transaction of each service at each live host. */
function createWork(world: FuzzWorld): StopWork {
  const {site, oracle, log} = world;

  /** Sends statements one after the other, then closes. */
  const run = (
    caller: FakeCaller,
    statements: readonly string[],
    tx: AskedTx,
  ): void => {
    const [sql, ...others] = statements;
    if (sql === undefined) {
      caller.close();
      return;
    }
    if (sql === 'COMMIT') {
      tx.commit();
    }
    work.waiting++;
    const {isJudged} = work;
    caller.send(sql, (answer: CallerAnswer) => {
      work.waiting--;
      if (answer.reply === null || readErrno(answer) !== null) {
        const {reply} = answer;
        const told =
          reply?.type === 'error'
            ? `${reply.error.errno} ${reply.error.message}`
            : 'closed';
        if (isJudged) {
          oracle.fail(
            `a planned stop cut ${sql} at ${caller.host.node.id}: ${told}`,
          );
        }
        return;
      }
      run(caller, others, tx);
    });
  };

  const send = (service: string, parts: readonly string[]): void =>
    site.hostIds.forEach(host => {
      const {process, engine} = site.hosts.get(host)!;
      const isStopping = engine.getBoard().self.drainDeadline !== null;
      if (process.isDead() || isStopping) {
        return;
      }
      const prefix = `stop${++work.serial}`;
      log(`${prefix}@${host} sends ${parts.length} statements`);
      const statements = parts.map((part, at) =>
        part.replace('?', `${prefix}.${at}`),
      );
      const tx = oracle.beginTx();
      if (statements.length > 1) {
        statements
          .map(findRowId)
          .filter(row => row.startsWith(prefix))
          .forEach(tx.addRow);
      }
      run(site.openCaller(host, {service}), statements, tx);
    });

  const insert = formatInsert('?', "/*kind='payment'*/ ");
  const work: StopWork = {
    waiting: 0,
    serial: 0,
    isJudged: false,
    sendRound: () => {
      for (const service of ['sg', 'sh']) {
        send(service, [insert]);
        send(service, ["/*kind='payment'*/ BEGIN", insert, insert, 'COMMIT']);
      }
    },
  };
  return work;
}

/** Stops the write owner of a group, or any host, and checks all answers. */
export function checkPlannedStop(world: FuzzWorld): void {
  const {site, oracle, log} = world;
  if (site.runtime.random() >= STOP_SHARE) {
    return;
  }
  site.runFor(SETTLE_MS);
  const {owners, primary} = site.readGroup('g');
  const any = world.hostId(Math.floor(site.runtime.random() * 6));
  const id = site.runtime.random() < 0.5 ? (owners[primary] ?? any) : any;
  const host = site.hosts.get(id)!;
  const work = createWork(world);
  const endAt = site.runtime.now() + STOP_MS;
  log(`--- planned stop of ${id}`);
  // What faults have done to estimates of service times is not the stop's.
  for (let round = 0; round < WARM_UP_ROUNDS; round++) {
    work.sendRound();
    site.runFor(ROUND_MS);
  }
  work.isJudged = true;
  work.sendRound();
  host.push({type: 'drain', deadline: endAt});
  while (!host.isDrained() && site.runtime.now() < endAt) {
    work.sendRound();
    site.runFor(ROUND_MS);
  }
  if (!host.isDrained()) {
    oracle.fail(`${id} did not stop within ${STOP_MS} ms without a fault`);
  }
  site.runFor(ANSWER_MS);
  if (work.waiting > 0) {
    oracle.fail(`${work.waiting} statements of a planned stop have no answer`);
  }
}
