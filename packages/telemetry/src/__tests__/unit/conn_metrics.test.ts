/** Tests that operators see how endpoints' connections are shared. */

import {expect, it} from 'vitest';
import {createMetrics} from '../../metrics.js';

it('counts evictions and refusals, and shows the connections held', async () => {
  const metrics = createMetrics(false);
  const evicted = {endpoint: 'g1-a', reason: 'other_workspace'};
  metrics.count('conn_evicted', evicted);
  metrics.count('conn_evicted', evicted);
  metrics.count('conns_refused', {endpoint: 'g1-a'});
  metrics.count('conns_counted', {endpoint: 'g1-a', held: 41});
  const text = await metrics.readText();
  expect(text).toContain(
    'lacewingroad_conns_evicted_total{endpoint="g1-a",reason="other_workspace"} 2',
  );
  expect(text).toContain('lacewingroad_conns_refused_total{endpoint="g1-a"} 1');
  expect(text).toContain('lacewingroad_conns_held{endpoint="g1-a"} 41');
});
