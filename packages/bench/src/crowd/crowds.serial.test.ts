/**
 * Crowds against each listener of the system's own processes. Each test fixes the crowd, and what its process may hold:
 * whatever comes, the process lives, stays within the memory and the descriptors of its host, and answers an ordinary
 * request that comes while the crowd stays. No test checks a time.
 */
import { expect } from 'chai';
import {
  openChunkedBody,
  openDeclaredBody,
  oneRequest,
  openHead,
  requestsAhead,
  wholeRequest,
} from './crowd.ts';
import type { Crowd, CrowdHead } from './crowd.ts';
import { CrowdPlayer } from './crowd-player.ts';
import type { CrowdTarget } from './crowd-player.ts';
import { FleetListener, FleetSite } from './fleet-site.ts';
import { sendOrdinaryRequest } from './ordinary-caller.ts';
import { ProcessGauge } from './process-gauge.ts';
import { callHead, HELD, RouterListener, RouterSite } from './router-site.ts';
import type { RouterSiteOptions } from './router-site.ts';

const KIB = 1_024;
const MIB = 1_048_576;
/** Host of a router in these tests: its memory in MiB, and its descriptors. */
const MEMORY_MB = 256;
const DESCRIPTORS = 700;
const MANY_DESCRIPTORS = 4_100;
/** Heap of a process of the fleet, and the memory that it may hold in all, in MiB. */
const FLEET_HEAP_MB = 96;
const FLEET_MEMORY_MB = 256;
/** A little less than the largest body that the routers take. */
const LARGE_BODY = 4 * MIB - KIB;
const FLEET_LARGE_BODY = MIB - KIB;
const ONE_BYTE = { bodyBytes: 200_000, chunkBytes: 1 };
const LARGE_CHUNKS = { bodyBytes: LARGE_BODY, chunkBytes: 256 * KIB };

/** A crowd against one listener of a router. */
interface RouterCase {
  listener: RouterListener;
  crowd: Crowd;
  options?: Partial<RouterSiteOptions>;
}

/** A crowd against one listener of a fleet. */
interface FleetCase {
  listener: FleetListener;
  createCrowd: (callHead: CrowdHead) => Crowd;
}

const ready = { method: 'GET', target: '/v1/readiness' };
const once = callHead('/once/a');
const held = callHead(`/once/${HELD}`);
const unknown = { target: '/unknown/', headers: { Host: 'h.example' } };
const question = { target: '/where', headers: { Host: 'h.example' } };
const bare = { method: 'GET', target: '/' };

function onCallers(crowd: Crowd, options: Partial<RouterSiteOptions> = {}): RouterCase {
  return { listener: RouterListener.Callers, crowd, options };
}

function ahead(head: CrowdHead, totalBytes = 16 * MIB, connections = 40): Crowd {
  return { connections, write: () => requestsAhead(head, totalBytes) };
}

function nothing(): Buffer[] {
  return [];
}

const ROUTER_CASES: Record<string, RouterCase> = {
  'bodies in large chunks that stop short of their end': onCallers({
    connections: 60,
    write: () => openChunkedBody(once, LARGE_CHUNKS),
  }),
  'bodies in chunks of one byte that stop short of their end': onCallers({
    connections: 40,
    write: () => openChunkedBody(once, ONE_BYTE),
  }),
  'requests sent ahead without headers, their answers unread': onCallers(ahead(bare, 4 * MIB, 300)),
  'requests sent ahead without a host, their answers unread': onCallers(
    ahead({ method: 'GET', target: '/once/a', headers: { 'Attempt-Id': 'a' } }, 4 * MIB, 300),
  ),
  'requests sent ahead with a host alone, their answers unread': onCallers(
    ahead({ method: 'GET', target: '/once/a', headers: { Host: 'h.example' } }),
  ),
  'sound requests sent ahead, their answers unread': onCallers(ahead({ ...once, method: 'GET' })),
  'requests sent ahead at the readiness check, their answers unread': {
    listener: RouterListener.Readiness,
    crowd: ahead(ready, 8 * MIB, 200),
  },
  'bodies in chunks of one byte behind heads without a host': onCallers({
    connections: 300,
    write: () => openChunkedBody({ target: '/once/a' }, ONE_BYTE),
  }),
  'bodies with a length that stop short of their end': onCallers({
    connections: 60,
    write: () => openDeclaredBody(once, LARGE_BODY),
  }),
  'bodies without a route that stop short of their end': onCallers({
    connections: 60,
    write: () => openChunkedBody(unknown, LARGE_CHUNKS),
  }),
  'whole bodies that no engine answers': onCallers({
    connections: 60,
    write: () => wholeRequest(held, LARGE_BODY),
  }),
  'requests sent ahead behind one that no engine answers': onCallers({
    connections: 40,
    write: function* () {
      yield* oneRequest({ ...held, method: 'GET' });
      yield* requestsAhead(bare, 16 * MIB);
    },
  }),
  'large answers that are not taken': onCallers(
    { connections: 60, write: () => oneRequest({ ...once, method: 'GET' }) },
    { answer: 'a'.repeat(4_000_000) },
  ),
  'large events of streams that are not taken': onCallers(
    { connections: 60, write: () => oneRequest(callHead('/stream/a')) },
    { eventBytes: 2_000_000 },
  ),
  'heads that do not end': onCallers(
    { connections: 3_000, write: () => openHead(once, 60_000) },
    { limits: { memoryMb: MEMORY_MB, maxFds: MANY_DESCRIPTORS } },
  ),
  'bodies of which a byte comes at a time': onCallers({
    connections: 60,
    pauseMs: 20,
    write: function* () {
      yield* openChunkedBody(once, LARGE_CHUNKS);
      for (;;) yield Buffer.from('1\r\na\r\n');
    },
  }),
  'idle connections of callers': onCallers({ connections: 1_000, write: nothing }),
  'idle connections at the readiness check': {
    listener: RouterListener.Readiness,
    crowd: { connections: 1_000, write: nothing },
  },
  'idle connections at the address for peers': {
    listener: RouterListener.Peers,
    crowd: { connections: 1_000, write: nothing },
  },
  'questions sent ahead at the address for peers, their answers unread': {
    listener: RouterListener.Peers,
    crowd: ahead({ method: 'GET', target: '/state' }, 4 * MIB, 200),
  },
  'explanations that stop short of their end': {
    listener: RouterListener.Peers,
    crowd: {
      connections: 600,
      write: () => openChunkedBody({ target: '/where' }, { bodyBytes: 60_000, chunkBytes: 1 }),
    },
  },
  'explanations with a host that stop short of their end': {
    listener: RouterListener.Peers,
    crowd: {
      connections: 600,
      write: () => openChunkedBody(question, { bodyBytes: 60_000, chunkBytes: 1 }),
    },
  },
  'requests sent ahead at the metrics, their answers unread': {
    listener: RouterListener.Metrics,
    crowd: ahead({ method: 'GET', target: '/metrics' }, 2 * MIB, 200),
  },
};

const FLEET_CASES: Record<string, FleetCase> = {
  'bodies in large chunks that stop short of their end': {
    listener: FleetListener.Callers,
    createCrowd: (head) => ({
      connections: 300,
      write: () => openChunkedBody(head, { bodyBytes: FLEET_LARGE_BODY, chunkBytes: 256 * KIB }),
    }),
  },
  'bodies in chunks of one byte that stop short of their end': {
    listener: FleetListener.Callers,
    createCrowd: (head) => ({ connections: 40, write: () => openChunkedBody(head, ONE_BYTE) }),
  },
  'requests sent ahead without headers, their answers unread': {
    listener: FleetListener.Callers,
    createCrowd: () => ahead(bare),
  },
  'requests sent ahead at the address for operators of a router, their answers unread': {
    listener: FleetListener.RouterOperators,
    createCrowd: () => ahead(bare),
  },
  'requests sent ahead at the address for operators of a sidecar, their answers unread': {
    listener: FleetListener.SidecarOperators,
    createCrowd: () => ahead(bare),
  },
  'frames that stop short of their end': {
    listener: FleetListener.Links,
    createCrowd: () => ({
      connections: 40,
      write: function* () {
        yield Buffer.from([0, 0xf0, 0, 0]);
        for (let count = 0; count < 15; count += 1) yield Buffer.alloc(MIB - KIB, 'a');
      },
    }),
  },
};

/** Plays a crowd, and checks the process while the crowd stays. */
async function expectToBear(options: {
  crowd: Crowd;
  target: CrowdTarget;
  pid: () => number | undefined;
  memoryMb: number;
  descriptors: number;
  ask: () => Promise<void>;
}): Promise<void> {
  const { crowd, target, pid, memoryMb, descriptors, ask } = options;
  const started = pid();
  if (started === undefined) throw new Error('the process does not run');
  const gauge = ProcessGauge.start(started);
  const player = new CrowdPlayer(crowd, target);
  try {
    await player.play();
    expect(pid(), 'the process lives').to.equal(started);
    await ask();
    expect(pid(), 'the process lives').to.equal(started);
    expect(gauge.peak.memoryMb, 'MiB of memory').to.be.below(memoryMb);
    expect(gauge.peak.descriptors, 'descriptors').to.be.below(descriptors);
  } finally {
    gauge.stop();
    player.stop();
  }
}

describe('a router beside a crowd', () => {
  let site: RouterSite | undefined;

  afterEach(async () => {
    await site?.stop();
    site = undefined;
  });

  for (const [name, { listener, crowd, options }] of Object.entries(ROUTER_CASES)) {
    it(`lives and serves beside ${name}`, async () => {
      const limits = { memoryMb: MEMORY_MB, maxFds: DESCRIPTORS, ...options?.limits };
      const running = await RouterSite.start({ ...options, limits });
      site = running;
      await expectToBear({
        crowd,
        target: running.target(listener),
        pid: () => running.pid,
        memoryMb: limits.memoryMb,
        descriptors: limits.maxFds,
        ask: async () => {
          const callers = running.target(RouterListener.Callers);
          expect(await sendOrdinaryRequest(callers, once, 'x')).to.equal(200);
          const readiness = running.target(RouterListener.Readiness);
          expect(await sendOrdinaryRequest(readiness, ready)).to.equal(200);
        },
      });
    });
  }
});

describe('a process of the fleet beside a crowd', () => {
  let site: FleetSite;

  beforeEach(async () => {
    site = await FleetSite.start(FLEET_HEAP_MB);
  });

  afterEach(async () => {
    await site.stop();
  });

  for (const [name, { listener, createCrowd }] of Object.entries(FLEET_CASES)) {
    it(`lives and serves beside ${name}`, async () => {
      const call = site.callHead;
      await expectToBear({
        crowd: createCrowd(call),
        target: site.target(listener),
        pid: () => site.pid(listener),
        memoryMb: FLEET_MEMORY_MB,
        descriptors: MANY_DESCRIPTORS,
        ask: async () => {
          const callers = site.target(FleetListener.Callers);
          expect(await sendOrdinaryRequest(callers, call, '{}')).to.equal(200);
        },
      });
    });
  }
});
