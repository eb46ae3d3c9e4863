/** What an instance of the model lives in, and what it shows. */
import type * as core from '@medlarweir/core';

import type * as linksOf from './links.js';
import type * as platforms from './platform.js';
import type * as timelines from './timeline.js';

export type World = {
  timeline: timelines.Timeline;
  links: linksOf.Links;
  platform: platforms.Platform;
  instances: Map<string, Instance>;
  /** Called whenever an instance puts a generation in force, in the life that `run` numbers. */
  onAdopted(name: string, run: number, generation: number): void;
};

export type Instance = {
  name: string;
  dataCentre: string;
  isRunning(): boolean;
  generation(): number;
  isConfirmed(): boolean;
  members(): readonly core.messages.Member[];
  traffic(): Traffic;
  receive(text: string): void;
  start(): void;
  /** Ends the process: its timers and messages are void. */
  stop(): void;
};

/** Messages and bytes, sent and received, calls of the platform included; encoded as JSON. */
export type Traffic = { messages: number; bytes: number };
