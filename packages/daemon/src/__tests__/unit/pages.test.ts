import {describe, expect, it} from 'vitest';
import {
  createBoardGauges,
  readGroupsPage,
  readHostsPage,
  readReadiness,
  readTablePage,
} from '@lacewingroad/daemon';
import {addHost, createBoard} from './fake_parts.js';

const NOW = 1_000;

describe('responses to operators', () => {
  it('shows each table with the version in force and for how long', () => {
    expect(readTablePage(createBoard('a-1', 700), NOW)).toEqual({
      host: 'a-1',
      dataCentre: 'a',
      revision: 17,
      viewAgeMs: 300,
      tables: [
        {
          service: 'shop',
          version: 3,
          inForceForMs: 600,
          editId: 'edit-1',
          rows: [],
        },
      ],
    });
  });

  it('shows endpoints with null for unknown values', () => {
    const page = readGroupsPage(createBoard('a-1', 700), NOW);
    expect(page.groups[0]).toMatchObject({
      id: 'g1',
      version: 4,
      term: 2,
      primary: 'e1',
      fence: null,
      owners: {e1: 'a-1'},
    });
    expect(page.groups[0]?.endpoints).toEqual([
      {
        id: 'e1',
        dataCentre: 'a',
        role: 'primary',
        term: 2,
        index: 44,
        dataAgeMs: 200,
        statusAgeMs: 100,
        owned: true,
      },
      {
        id: 'e2',
        dataCentre: 'b',
        role: null,
        term: null,
        index: null,
        dataAgeMs: null,
        statusAgeMs: null,
        owned: false,
      },
    ]);
  });

  it('shows hosts sorted by id, and which are reachable', () => {
    const board = createBoard('a-1', 700);
    addHost(board, 'b-1', '127.0.2.1:7000');
    addHost(board, 'a-1', '127.0.1.1:7000');
    const {hosts} = readHostsPage(board, NOW);
    expect(hosts.map(host => [host.id, host.reachable])).toEqual([
      ['a-1', true],
      ['b-1', false],
    ]);
    const later = readHostsPage(board, 5_000);
    expect(later.hosts.every(host => host.reachable)).toBe(true);
  });

  it('is ready with a view unless it is draining', () => {
    const board = createBoard('a-1', 700);
    expect(readReadiness(board, false)).toEqual({ready: true, reason: null});
    expect(readReadiness(board, true).reason).toContain('draining');
    expect(readReadiness(createBoard('a-1', null), false).ready).toBe(false);
  });
});

describe('gauges', () => {
  it('read the blackboard at the time of the scrape', () => {
    const board = createBoard('a-1', 700);
    const gauges = createBoardGauges({getBoard: () => board, now: () => NOW});
    const read = (name: string) =>
      gauges.find(gauge => gauge.name === name)!.read();
    expect(read('lacewingroad_view_age_seconds')).toEqual([
      {labels: {}, value: 0.3},
    ]);
    expect(read('lacewingroad_callers')).toEqual([{labels: {}, value: 1}]);
    expect(read('lacewingroad_write_evidence_seconds')).toEqual([
      {labels: {group: 'g1'}, value: 2.7},
    ]);
    expect(read('lacewingroad_endpoint_data_age_seconds')).toEqual([
      {labels: {endpoint: 'e1'}, value: 0.2},
    ]);
  });
});
