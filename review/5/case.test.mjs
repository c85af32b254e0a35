/**
 * A client prepares two statements whose shapes begin alike. Checks that each
 * name runs the shape that was prepared under it.
 */

import {fileURLToPath} from 'node:url';
import {runCase} from '../lib/case.mjs';
import {openSession} from '../lib/session.mjs';

const FOLDER = fileURLToPath(new URL('.', import.meta.url));
const SESSIONS = 4;
const PAIRS = 10;
/** Length of the part that both shapes share. */
const LONG_PREFIX = 64;
const SHORT_PREFIX = 16;

/** The shape that each request runs by its name, by request id. */
const preparedShapes = new Map();
const faults = [];

await runCase(
  FOLDER,
  ({recorder}) => ({
    onRun: ({id, statement}) => {
      const wanted = preparedShapes.get(id);
      if (wanted !== undefined && statement.shape !== wanted) {
        recorder.add(
          'CHECK',
          `${id} ran ${statement.shape}, prepared was ${wanted}`,
        );
        faults.push(
          `PINNED: ${id} ran the shape ${statement.shape} under a name that its client prepared as ${wanted}`,
        );
      }
    },
  }),
  async ({hasTrouble, fleet, recorder}) => {
    const length = hasTrouble ? LONG_PREFIX : SHORT_PREFIX;
    let nextId = 1;
    for (let number = 0; number < SESSIONS; number++) {
      const host = fleet.hosts[number % fleet.hosts.length];
      const session = await openSession(host, 'avance', recorder);
      for (let pair = 0; pair < PAIRS; pair++) {
        const prefix = `q${number}_${pair}_`.padEnd(length, 'x');
        for (const [name, shape] of [
          ['s1', `${prefix}a`],
          ['s2', `${prefix}b`],
        ]) {
          await session.ask(`p${nextId++}`, `PREPARE ${name} FETCH ${shape}`);
        }
        for (const [name, shape] of [
          ['s1', `${prefix}a`],
          ['s2', `${prefix}b`],
        ]) {
          const id = `e${nextId++}`;
          preparedShapes.set(id, shape);
          const {word, rows} = await session.ask(id, `EXECUTE ${name} item1`);
          if (word === 'DONE' && !rows[0]?.startsWith(`${shape}/`)) {
            recorder.add(
              'CHECK',
              `${id} got the rows of another shape: ${rows}`,
            );
          }
        }
      }
      session.close();
    }
    return faults;
  },
);
