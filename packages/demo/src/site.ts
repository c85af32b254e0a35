/**
 * The demo's site: three data centres, six entry hosts and one ledger database.
 */

import type {SiteOptions} from '@lacewingroad/standins';

/** The service that the demo's callers use. */
export const DEMO_SERVICE = 'commissions';

/** The endpoint group of the demo's ledger database. */
export const DEMO_GROUP = 'ledger';

/** Options of the site that the demo starts. */
export const DEMO_SITE: SiteOptions = {
  dataCentres: ['north', 'east', 'south'],
  entriesPerDataCentre: 2,
  groups: [DEMO_GROUP],
  slots: 3,
  maxConnections: 24,
  connectMs: 10,
  serviceMs: 3,
  lagMs: 20,
  logLevel: 'info',
  services: [
    {
      service: DEMO_SERVICE,
      group: DEMO_GROUP,
      rows: [
        {
          kind: 'payment',
          rank: 'urgent',
          worth: 100,
          targetMs: 250,
          connectionLimit: 8,
        },
        {
          kind: 'status',
          rank: 'standard',
          worth: 10,
          targetMs: 250,
          maxStalenessMs: null,
          connectionLimit: 8,
        },
        {
          kind: 'gallery',
          rank: 'background',
          worth: 1,
          targetMs: 500,
          maxStalenessMs: 10_000,
          connectionLimit: 4,
          floorPercent: 10,
        },
      ],
    },
  ],
};
