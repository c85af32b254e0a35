/** Platform faults, and edits by operators. */

import fc from 'fast-check';
import type {GroupObject, TableObject} from '@lacewingroad/core';
import type {NetNode} from '../../network.js';
import {MAX_UPDATE_DELAY_MS} from '../finish.js';
import {FUZZ_ROWS} from '../world.js';
import {createCommand, gap, groupId, index} from './command.js';
import type {CommandArbitrary} from './command.js';

const setPlatform = fc
  .tuple(
    gap,
    fc.constantFrom('up', 'up', 'down', 'hang'),
    fc.constantFrom(0, 0, 50, 900),
  )
  .map(([ms, mode, slowMs]) =>
    createCommand(`platform ${mode} slow=${slowMs}`, ms, world => {
      Object.assign(world.site.platform.faults, {mode, slowMs});
    }),
  );

const loseAnswers = fc
  .tuple(gap, fc.integer({min: 1, max: 3}))
  .map(([ms, count]) =>
    createCommand(`platform loses ${count} answers`, ms, world => {
      world.site.platform.faults.loseAnswers = count;
    }),
  );

const lateUpdates = fc
  .tuple(
    gap,
    fc.integer({min: 1, max: 2}),
    fc.integer({min: 10, max: MAX_UPDATE_DELAY_MS - 1_000}),
  )
  .map(([ms, count, lateMs]) =>
    createCommand(`platform ${count} updates late by ${lateMs}`, ms, world => {
      Object.assign(world.site.platform.faults, {lateUpdates: count, lateMs});
    }),
  );

/** Two operators edit the same version of a table, so that one must fail. */
const editTable = fc
  .tuple(gap, fc.constantFrom('sg', 'sh'), fc.nat({max: 20}))
  .map(([ms, service, worth]) =>
    createCommand(`edit ${service} worth=${worth}`, ms, world => {
      const {platform} = world.site;
      const key = `tables/${service}`;
      const current = platform.find(key)!;
      for (const zone of ['operator-1', 'operator-2']) {
        const node: NetNode = {id: zone, zone};
        const value: TableObject = {
          ...(current.value as TableObject),
          rows: FUZZ_ROWS.map(row => ({...row, worth})),
          editId: `${zone}-${current.version}`,
          editedBy: zone,
        };
        const update = {key, baseVersion: current.version, value};
        platform.update(node, update, () => undefined);
      }
    }),
  );

/** Marks an endpoint as leaving, or clears the mark. */
const markLeaving = fc
  .tuple(gap, groupId, index, fc.constantFrom(true, true, false))
  .map(([ms, id, endpointIndex, leaving]) =>
    createCommand(
      `mark endpoint ${endpointIndex} of ${id} leaving=${leaving}`,
      ms,
      world => {
        const {platform} = world.site;
        const key = `groups/${id}`;
        const current = platform.find(key)!;
        const group = current.value as GroupObject;
        const chosen =
          group.endpoints[endpointIndex % group.endpoints.length]!.id;
        const endpoints = group.endpoints.map(endpoint =>
          endpoint.id === chosen ? {...endpoint, leaving} : endpoint,
        );
        const node: NetNode = {id: 'operator-1', zone: 'operator-1'};
        const value: GroupObject = {...group, endpoints};
        const update = {key, baseVersion: current.version, value};
        platform.update(node, update, () => undefined);
      },
    ),
  );

const planFailover = fc
  .tuple(gap, index, groupId, fc.option(index))
  .map(([ms, hostIndex, group, to]) =>
    createCommand(
      `failover ${group} to ${to} at ${hostIndex % 6}`,
      ms,
      world => {
        const {endpoints} = world.site.readGroup(group);
        const target =
          to === null ? null : endpoints[to % endpoints.length]!.id;
        const host = world.site.hosts.get(world.hostId(hostIndex))!;
        host.push({type: 'operator_failover', ask: 1, group, to: target});
      },
    ),
  );

/** Platform faults and edits; repeated entries are drawn more often. */
export const PLATFORM_COMMANDS: readonly CommandArbitrary[] = [
  setPlatform,
  loseAnswers,
  lateUpdates,
  editTable,
  markLeaving,
  planFailover,
  planFailover,
];
