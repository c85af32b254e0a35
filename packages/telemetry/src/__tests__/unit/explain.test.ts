import {describe, expect, it} from 'vitest';
import {explainRequest, parseEventLine} from '@lacewingroad/telemetry';
import type {TimelineEvent} from '@lacewingroad/telemetry';

/** Lines of three hosts around one read that was refused under load. */
const LINES = `
stamp=1796386000000.000000 level=warn host=a-1 seq=1 event=platform_lost kind=refused detail="connect ECONNREFUSED" view_revision=41 view_age_ms=510
stamp=1796386000100.000000 level=debug host=b-1 seq=7 event=request_sent request=b-1.x.9 attempt=1 group=g1 kind=browse rank=background endpoint=g1-a owner=a-1 endpoint_role=primary reason=no_replica_fits term=null min_term=3 min_index=88 max_staleness_ms=60000 data_age_ms=40 report_age_ms=45 left_ms=2000 view_revision=41 view_age_ms=120
some other program wrote this
stamp=1796386000101.000000 level=info host=a-1 seq=2 event=job_refused request=b-1.x.9 attempt=1 endpoint=g1-a group=g1 kind=browse rank=background mode=autocommit outcome=not_run reason=queue_full queued=256 running=3 conns=3 service_ms=12 group_term=3 view_revision=41 view_age_ms=90
stamp=1796386000102.000000 level=info host=b-1 seq=8 event=request_not_run request=b-1.x.9 group=g1 service=shop outcome=not_run reason=queue_full latency_ms=3 target_ms=500 attempts=1 endpoint=g1-a view_revision=41 view_age_ms=122
stamp=1796386000103.000000 level=info host=c-1 seq=4 event=host_reachable host=c-2
stamp=1796386000104.000000 level=info host=b-1 seq=9 event=request_not_run request=b-1.x.10 group=g1 outcome=not_run reason=queue_full
stamp=17963860001`;

const EVENTS = LINES.split('\n')
  .map(parseEventLine)
  .filter((event): event is TimelineEvent => event !== null);

describe('explainRequest', () => {
  const found = explainRequest([...EVENTS].reverse(), 'b-1.x.9')!;

  it('tells each decision with what it was decided by', () => {
    expect(found.story).toHaveLength(3);
    expect(found.story[0]).toContain('no replica could be reached');
    expect(found.story[0]).toContain('index 88 of term 3');
    expect(found.story[0]).toContain('revision 41');
    expect(found.story[0]).toContain('120 ms old');
    expect(found.story[1]).toContain('256 waited and 3 ran at g1-a');
    expect(found.story[2]).toContain('not_run, reason queue_full');
  });

  it('tells what would have changed the outcome', () => {
    expect(found.remedy).toContain('More work of its rank waited');
  });

  it('tells what else its hosts learned, and nothing of other requests', () => {
    expect(found.context).toHaveLength(1);
    expect(found.context[0]).toContain('platform_lost');
  });

  it('finds nothing of a request that no event tells of', () => {
    expect(explainRequest(EVENTS, 'b-1.x.11')).toBeNull();
  });
});
