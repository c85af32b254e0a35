/**
 * A zone is partitioned from the others, with the owner of a service and one of
 * its replicas inside and its primary outside. Clients outside write meanwhile.
 * The rule is broken if a write is committed at the old primary after a promote
 * has taken effect, and acknowledged to its client.
 */

import {fileURLToPath} from 'node:url';
import {openSession} from '../lib-2/client.mjs';
import {startGroup} from '../lib-2/group.mjs';
import {
  createRecord,
  runCase,
  sleep,
  startPlatform,
  waitUntil,
} from '../lib-2/platform.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** Whether the control interface is in no zone and always reached. */
const IS_CONTROL_OUTSIDE = process.env.CONTROL === 'outside';
const ZONES = ['za', 'zb', 'zc'];
/** The primaries are in the first zone, with the store. */
const CUT_ZONE = 'zb';
/** Largest `for_s` of `zone_cut` among the troubles of the site file. */
const CUT_MS = 5_500;
/** A further cut follows if the owner has not requested a promotion. */
const MAX_CUTS = 3;
/** Time for a service to be owned in the zone again, in ms. */
const SEARCH_MS = 12_000;
const BEFORE_MS = 4_000;
const AFTER_MS = 7_000;
const WRITERS = 4;
const WRITE_PAUSE_MS = 25;

let nextId = 1;
const createId = () => (nextId++).toString(16).padStart(16, '0');

const record = createRecord(fileURLToPath(new URL('.', import.meta.url)));

await runCase(record, async () => {
  const logGroup = event => {
    if (event.lead !== undefined) {
      record(`${event.group}: ${event.lead} leads term ${event.term}`);
    } else if (event.steppedDown !== undefined) {
      record(`${event.group}: ${event.steppedDown} steps down`);
    } else {
      record(
        `${event.group}: ${event.endpoint} runs ${event.kind} ${event.id} at ${event.position}`,
      );
    }
  };
  const groups = await Promise.all(
    ['g1', 'g2', 'g3'].map(name => startGroup(name, {record: logGroup})),
  );
  const platform = await startPlatform({
    groups,
    record,
    zones: ZONES,
    hostsPerZone: 2,
    hasNetwork: true,
    storeZone: ZONES[0],
    controlZone: IS_CONTROL_OUTSIDE ? null : CUT_ZONE,
  });
  const {hosts} = platform;
  if (!(await waitUntil(() => hosts.every(host => host.isReady), 20_000))) {
    throw new Error('the hosts did not become ready');
  }
  await sleep(3_000);

  /** Finds a service that is owned in the zone, with its primary outside. */
  const findService = () =>
    groups.find(
      ({name, endpoints, findPrimary}) =>
        platform.findOwner(name)?.zone === CUT_ZONE &&
        ZONES[endpoints.indexOf(findPrimary())] !== CUT_ZONE,
    );

  /** Partitions the zone while clients write; returns what was broken. */
  const playCut = async () => {
    if (!(await waitUntil(() => findService() !== undefined, SEARCH_MS))) {
      throw new Error('no service is owned in the zone that is cut');
    }
    const group = findService();
    record(
      `${group.name} is owned by ${platform.findOwner(group.name).name}; its primary is ${group.findPrimary().id}`,
    );
    const acked = new Set();
    let isOver = false;
    const write = async number => {
      for (let turn = number; !isOver; turn++) {
        const outside = hosts.filter(
          ({zone, isReady}) => zone !== CUT_ZONE && isReady,
        );
        if (outside.length === 0) {
          await sleep(100);
          continue;
        }
        const {front, name} = outside[turn % outside.length];
        const session = await openSession(front, `${group.name}-primary`);
        let isGoing = session.openedWith === 'DONE';
        while (isGoing && !isOver) {
          const id = createId();
          const {word} = await session.ask(id, `PUT 1a4 ${id}`);
          record(`client at ${name} sent PUT ${id}, got ${word}`);
          if (word === 'DONE') {
            acked.add(id);
          }
          isGoing = ['DONE', 'BUSY'].includes(word);
          await sleep(WRITE_PAUSE_MS);
        }
        session.close();
        await sleep(100);
      }
    };
    const writers = Array.from({length: WRITERS}, (_, at) => write(at));
    await sleep(BEFORE_MS);
    if (HAS_TROUBLE) {
      record(`zone ${CUT_ZONE} is partitioned from the others`);
      platform.cutZone(CUT_ZONE);
    }
    await sleep(CUT_MS);
    if (HAS_TROUBLE) {
      record('the partition ends');
      platform.healZone(CUT_ZONE);
    }
    await sleep(AFTER_MS);
    isOver = true;
    await Promise.all(writers);

    const primary = group.findPrimary();
    const held = new Set(primary.log.flatMap(({writes}) => writes));
    const broken = [...acked].filter(id => {
      const {endpoint, at} = group.origins.get(id);
      return group.leads.some(
        lead => lead.at < at && lead.endpoint !== endpoint && !held.has(id),
      );
    });
    const lost = [...acked].filter(id => !held.has(id));
    record(`acknowledged writes: ${acked.size}`);
    record(`promotions of ${group.name} so far: ${group.leads.length}`);
    record(
      `committed at an old primary after a promote had taken effect, and acknowledged: ${broken.length}`,
    );
    record(`acknowledged and not in the log of ${primary.id}: ${lost.length}`);
    return broken.length > 0;
  };

  let isBroken = false;
  for (let cut = 1; cut <= MAX_CUTS && !isBroken; cut++) {
    isBroken = await playCut();
  }
  await platform.close();
  return isBroken;
});
