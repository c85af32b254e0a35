import mysql from 'mysql2/promise';
import {afterEach, describe, expect, test} from 'vitest';
import {
  ADDRESS,
  column,
  ok,
  PASSWORD,
  SECOND_PASSWORD,
  SECOND_USER,
  rows,
  USER,
} from './fake_core.js';
import {
  startAdapter,
  connectMysql2,
  connectMariadb,
  getCore,
  closeAll,
} from './caller_harness.js';

afterEach(closeAll);

describe('the caller adapter', () => {
  test('COM_RESET_CONNECTION closes the caller and opens a new one', async () => {
    await startAdapter(() => ok());
    const connection = await connectMysql2('orders');
    await connection.reset();
    await connection.query('SELECT 1');
    const types = getCore().events.map(event => event.type);
    expect(types).toEqual([
      'caller_opened',
      'caller_closed',
      'caller_opened',
      'caller_statement',
    ]);
  });

  test('replaced users cannot log in; their existing connections stay usable', async () => {
    await startAdapter(() => ok());
    const connection = await connectMysql2('orders');
    getCore().adapter.setUsers([]);
    await connection.query('SELECT 1');
    await expect(connectMysql2('orders')).rejects.toMatchObject({errno: 1045});
  });

  test('COM_CHANGE_USER closes the caller and opens a new one', async () => {
    await startAdapter(() => ok());
    const connection = await connectMysql2('orders');
    await connection.changeUser({
      user: SECOND_USER,
      password: SECOND_PASSWORD,
      database: 'proofs',
    });
    await connection.query('SELECT 1');
    expect(getCore().events.slice(1)).toMatchObject([
      {type: 'caller_closed', caller: 1},
      {
        type: 'caller_opened',
        caller: 2,
        user: SECOND_USER,
        service: 'proofs',
        allowedServices: ['proofs'],
        attributes: {},
      },
      {type: 'caller_statement', caller: 2, seq: 1},
    ]);
    await connection.reset();
    expect(getCore().events.at(-1)).toMatchObject({
      user: SECOND_USER,
      service: 'proofs',
    });
  });

  test('COM_CHANGE_USER works with the mariadb client', async () => {
    // The client sends COM_CHANGE_USER only to MariaDB servers.
    await startAdapter(() => ok(), {serverVersion: '10.11.2-MariaDB'});
    const connection = await connectMariadb('orders');
    await connection.changeUser({
      user: SECOND_USER,
      password: SECOND_PASSWORD,
      database: 'proofs',
      connectAttributes: {lacewingroad_session: 'def'},
    });
    await connection.query('SELECT 1');
    const opened = getCore().events.filter(
      ({type}) => type === 'caller_opened',
    );
    expect(opened.at(-1)).toMatchObject({
      user: SECOND_USER,
      service: 'proofs',
      attributes: {lacewingroad_session: 'def'},
    });
  });

  test.each([
    [SECOND_USER, PASSWORD],
    [SECOND_USER, ''],
    ['nobody', PASSWORD],
  ])('refuses a change to %s with password "%s"', async (user, password) => {
    await startAdapter(() => ok());
    const connection = await connectMysql2('orders');
    const attempt = connection.changeUser({user, password});
    await expect(attempt).rejects.toMatchObject({errno: 1045});
    await expect
      .poll(() => getCore().events.map(({type}) => type))
      .toEqual(['caller_opened', 'caller_closed']);
  });

  test.each([
    [USER, 'wrong'],
    [USER, ''],
    ['nobody', PASSWORD],
    ['nobody', ''],
  ])('refuses %s with password "%s"', async (user, password) => {
    await startAdapter(() => ok());
    const {port} = getCore().adapter;
    const attempt = mysql.createConnection({
      host: ADDRESS,
      port,
      user,
      password,
    });
    await expect(attempt).rejects.toMatchObject({
      errno: 1045,
      sqlState: '28000',
    });
    expect(getCore().events).toEqual([]);
  });

  test('close_caller closes the connection of the client', async () => {
    await startAdapter(() => ok());
    const connection = await connectMysql2();
    const closed = new Promise(resolve => connection.on('error', resolve));
    const opened = getCore().events[0]!;
    const caller = opened.type === 'caller_opened' ? opened.caller : 0;
    getCore().adapter.performers.close_caller({type: 'close_caller', caller});
    await closed;
  });
});

test('close_caller does not truncate an answer that is being written', async () => {
  await startAdapter(() => new Promise(() => undefined));
  const connection = await connectMysql2();
  const pending = connection.query('SELECT');
  await expect.poll(() => getCore().events.length).toBe(2);
  const long = Array.from({length: 30}, () => ['x'.repeat(1024 * 1024)]);
  const reply = rows([column('pad', 253)], long);
  const {performers} = getCore().adapter;
  performers.reply({type: 'reply', caller: 1, seq: 1, reply});
  performers.close_caller({type: 'close_caller', caller: 1});
  expect((await pending)[0]).toHaveLength(30);
});
