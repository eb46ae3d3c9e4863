/** Stand-ins for the systems that medlarweir works with. */
export * as contextStore from './context-store/context-store.js';
export * as engine from './engine/engine.js';
export * as serve from './http/serve.js';
export * as plain from './plain/plain.js';
export * as platform from './platform/platform.js';
export * as store from './store/store.js';
export * as replica from './replica/replica.js';
