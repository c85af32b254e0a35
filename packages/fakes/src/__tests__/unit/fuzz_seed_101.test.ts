import {describe} from 'vitest';
import {testFuzzSeed} from './fuzz_seed.js';

describe('stateful fuzzing on fakes', () => testFuzzSeed(101));
