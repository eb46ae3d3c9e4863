/** Stand-ins for the external systems that medlarweir talks to. */
export * as addresses from './addresses.js';
export * as contextStore from './context-store/context-store.js';
export * as crowd from './crowd.js';
export * as engine from './engine/engine.js';
export * as serve from './http/serve.js';
export * as patientCaller from './patient-caller.js';
export * as plain from './plain/plain.js';
export * as objectStore from './platform/object-store.js';
export * as platform from './platform/platform.js';
export * as store from './store/store.js';
export * as processFigures from './process-figures.js';
export * as replica from './replica/replica.js';
