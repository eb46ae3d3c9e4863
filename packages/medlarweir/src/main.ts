#!/usr/bin/env node
/** The binary of an entry instance. */
import './plugins.js';

import * as core from '@medlarweir/core';

import * as flags from './flags.js';

core.binary.main(flags.program);
