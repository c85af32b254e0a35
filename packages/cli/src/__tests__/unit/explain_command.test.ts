import {beforeEach, describe, expect, it} from 'vitest';
import {runCli} from '../../cli.js';
import {FakeHosts, FakeOperator, FakePlatform} from './fake_context.js';

const LOG = `garbage
stamp=1796386000102.000000 level=info host=b-1 seq=8 event=request_not_run request=r1 group=g1 outcome=not_run reason=too_late latency_ms=3 attempts=0 target_ms=5
stamp=17963`;

describe('explain', () => {
  let operator: FakeOperator;

  beforeEach(() => {
    const platform = new FakePlatform();
    operator = new FakeOperator('rosa', platform, new FakeHosts(platform));
    operator.files.set('b-1.log', LOG);
    operator.files.set('-', LOG);
  });

  it.each(['b-1.log', '-'])(
    'explains a request from the log %s',
    async path => {
      expect(await runCli(operator.context(), ['explain', 'r1', path])).toBe(0);
      expect(operator.out).toContain('not_run, reason too_late');
      expect(operator.out).toContain('What would have changed it');
    },
  );

  it('prints the explanation as JSON', async () => {
    const args = ['explain', 'r1', 'b-1.log', '--json'];
    expect(await runCli(operator.context(), args)).toBe(0);
    const data = JSON.parse(operator.out) as {story: string[]; remedy: string};
    expect(data.story).toHaveLength(1);
    expect(data.remedy).not.toBe('');
  });

  it('names a remedy when no event mentions the request', async () => {
    const args = ['explain', 'r2', 'b-1.log'];
    expect(await runCli(operator.context(), args)).toBe(1);
    expect(operator.out).toContain('name the log files of all hosts');
  });
});
