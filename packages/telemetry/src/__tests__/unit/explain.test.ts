import {describe, expect, it} from 'vitest';
import {explainRequest, parseEventLine} from '@lacewingroad/telemetry';
import type {TimelineEvent} from '@lacewingroad/telemetry';

/** Log lines of three hosts around a read that was refused under load. */
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

  it('describes each decision and its inputs', () => {
    expect(found.story).toHaveLength(3);
    expect(found.story[0]).toContain('no replica could be reached');
    expect(found.story[0]).toContain('index 88 of term 3');
    expect(found.story[0]).toContain('revision 41');
    expect(found.story[0]).toContain('120 ms old');
    expect(found.story[1]).toContain('256 waited and 3 ran at g1-a');
    expect(found.story[2]).toContain('not_run, reason queue_full');
  });

  it('names what would have changed the outcome', () => {
    expect(found.remedy).toContain('More work of its rank waited');
  });

  it('includes related events of its hosts, but not those of other requests', () => {
    expect(found.context).toHaveLength(1);
    expect(found.context[0]).toContain('platform_lost');
  });

  it('returns null for a request that no event mentions', () => {
    expect(explainRequest(EVENTS, 'b-1.x.11')).toBeNull();
  });
});

/** Log lines of two hosts around a write that was refused. */
const POOL_LINES = `
stamp=1784122624300.000001 level=debug host=b-1 seq=6 event=request_sent request=b-1-x-7 caller_request=a252ad60 group=g1 owner=d-1 attempt=1 table_version=22 left_ms=800
stamp=1784122624302.000001 level=debug host=d-1 seq=3 event=job_started request=b-1-x-7 caller_request=a252ad60 group=g1 endpoint=g1-a attempt=1 tx=null rank="1" consistency=session min_term=1 min_index=181 primary=g1-a term=1 waited_ms=2 left_ms=798 generation=4
stamp=1784122625100.000002 level=info host=d-1 seq=4 event=job_ended request=b-1-x-7 caller_request=a252ad60 group=g1 endpoint=null tx=null outcome=refused reason=too_late attempts=1 took_ms=798 left_ms=2 generation=4
stamp=1784122625101.000000 level=info host=b-1 seq=7 event=request_not_run request=b-1-x-7 caller_request=a252ad60 service=g1 kind=shop rank="1" outcome=not_run reason=too_late tx=null owner=d-1 attempts=1 table_version=22 latency_ms=801 is_in_time=false
stamp=1784122625102.000000 level=info host=b-1 seq=8 event=request_not_run request=b-1-x-8 caller_request=a252ad61 service=g1 kind=shop rank="1" outcome=not_run reason=no_owner tx=null owner=null attempts=0 table_version=22 latency_ms=0 is_in_time=false
stamp=1784122625200.000000 level=debug host=d-1 seq=5 event=job_refused request=b-1-x-9 caller_request=a252ad62 group=g1 rank="2" workspace=null reason=overtaken expected_wait_ms=1900 retry_after_ms=840 held_ms=120 left_ms=1700 generation=4
stamp=1784122625201.000000 level=info host=b-1 seq=9 event=request_not_run request=b-1-x-9 caller_request=a252ad62 service=g1 kind=shop rank="2" outcome=not_run reason=overtaken tx=null owner=d-1 attempts=1 table_version=22 latency_ms=122 is_in_time=false`;

describe('explainRequest of a pool with one owner', () => {
  const events = POOL_LINES.split('\n')
    .map(parseEventLine)
    .filter((event): event is TimelineEvent => event !== null);

  it('describes its route, the position it needed and its outcome', () => {
    const {story, remedy} = explainRequest(events, 'b-1-x-7')!;
    expect(story).toHaveLength(4);
    expect(story[0]).toContain('d-1, which owns the pool of g1');
    expect(story[1]).toContain('index 181 of term 1');
    expect(story[1]).toContain('owner of generation 4');
    expect(story[2]).toContain('while it waited for a slot after 798 ms');
    expect(story[3]).toContain('version 22 of the table');
    expect(remedy).toContain('a longer timeout');
  });

  it('names a missing owner as the cause', () => {
    const {story, remedy} = explainRequest(events, 'b-1-x-8')!;
    expect(story[0]).toContain('with no reachable owner');
    expect(remedy).toContain('owner_changed');
  });

  it('tells the expected wait by which a statement was refused', () => {
    const {story, remedy} = explainRequest(events, 'b-1-x-9')!;
    expect(story[0]).toContain('after 120 ms in the queue');
    expect(story[0]).toContain('expected after 1900 ms, and 1700 ms were left');
    expect(remedy).toContain('More urgent work');
  });
});
