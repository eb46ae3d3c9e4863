#!/usr/bin/env node
/** The executable of an entry instance. */
import './plugins.js';

import * as core from '@medlarweir/core';

import * as commandLine from './command-line.js';

core.binary.main(commandLine.program);
