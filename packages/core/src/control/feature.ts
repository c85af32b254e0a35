/** The features of the control plane. */

import {inquiryFeature} from './inquiry.js';
import {membershipFeature} from './membership.js';
import {ownershipFeature} from './ownership.js';
import {plannedFeature} from './planned.js';
import {probesFeature} from './probes.js';
import {promisesFeature} from './promises.js';
import {reviewFeature} from './review.js';
import {rolesFeature} from './roles.js';
import {syncFeature} from './sync.js';
import {updatesFeature} from './updates.js';
import {writerFeature} from './writer.js';
import type {Feature} from '../engine/engine.js';

/** The control features, in the order in which their handlers run. */
export const controlFeatures: readonly Feature[] = [
  membershipFeature,
  syncFeature,
  updatesFeature,
  writerFeature,
  ownershipFeature,
  probesFeature,
  rolesFeature,
  promisesFeature,
  inquiryFeature,
  plannedFeature,
  reviewFeature,
];
