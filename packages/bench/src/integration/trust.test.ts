import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { connect } from 'node:net';
import { expect } from 'chai';
import {
  createCertificateAuthority,
  createValidityPeriod,
} from '@poplarpick/cli/keys/certificate-authority';
import { callChat, CallOutcome, buildChatBody } from '@poplarpick/load';
import { expectedAnswer } from '@poplarpick/stand-ins';
import { stringify } from 'smol-toml';
import { FleetProcess } from '../process-fleet/fleet-process.ts';
import type { FleetCertificates } from '../process-fleet/fleet-certificates.ts';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';

const DAY_MS = 86_400_000;
const ENDPOINT = 'model-1';

describe('trust between real processes', () => {
  let fleet: ProcessFleet;
  let certificates: FleetCertificates;
  let folder: string;
  let count = 0;

  before(async () => {
    folder = mkdtempSync(join(tmpdir(), 'poplarpick-trust-'));
    fleet = await ProcessFleet.start({ trust: true });
    if (fleet.certificates === undefined) throw new Error('the fleet has no certificates');
    certificates = fleet.certificates;
  });

  after(async () => {
    await fleet.stop();
    rmSync(folder, { recursive: true, force: true });
  });

  /** Starts a sidecar that is not part of the fleet, with settings files of its own. */
  function startUnknownSidecar(trust: object, changes: object = {}): FleetProcess {
    count += 1;
    const settings = {
      fleet: 'bench',
      host: `stranger-${count}`,
      data_centre: fleet.site.plan.dataCentres[0] ?? '',
      platform: { configuration: fleet.site.configuration.url, hosts: fleet.site.hosts.url },
      trust,
      operators: { address: '127.0.0.1:0' },
      endpoint: { name: ENDPOINT, url: fleet.site.endpointUrl(ENDPOINT) },
      ...changes,
    };
    const settingsFile = join(folder, `stranger-${count}.toml`);
    return new FleetProcess({ command: 'sidecar', settingsFile, settings: stringify(settings) });
  }

  /** Expects that both ends log the refusal of a sidecar, and that it gets no link and no configuration. */
  async function expectRefused(sidecar: FleetProcess, reason: RegExp): Promise<void> {
    const router = fleet.routers[0]?.process;
    const refused = (event: Record<string, string>): boolean =>
      event['event'] === 'trust.refused' && reason.test(event['reason'] ?? '');
    await router?.waitForEvent(refused, `refusal for ${String(reason)}`);
    await sidecar.waitForEvent(
      (event) => event['event'] === 'trust.refused' || event['event'] === 'link.hello_failed',
      'refusal at the sidecar',
    );
    const names = sidecar.events.map((event) => event['event']);
    await sidecar.kill();
    expect(names).not.to.include('peer.joined');
    expect(names).not.to.include('configuration.in_force');
  }

  function chat(prompt: string, outputTokens: number) {
    const { workspaces, model } = fleet.site.plan;
    const url = fleet.routerUrls[0] ?? '';
    return { url, key: workspaces[0]?.key ?? '', model, prompt, outputTokens };
  }

  it('serves a request over links on which both sides show a certificate', async () => {
    const call = chat('hello', 10);
    const result = await callChat(call);
    expect(result.outcome).to.equal(CallOutcome.Complete);
    expect(result.text).to.equal(expectedAnswer(buildChatBody(call)));
  });

  it('refuses a process of another fleet', async () => {
    await certificates.issue({ fleet: 'other', role: 'sidecar', host: 'stranger' });
    await expectRefused(
      startUnknownSidecar(certificates.trustSettings('stranger'), {
        fleet: 'other',
        host: 'stranger',
      }),
      /fleet other, not bench/,
    );
  });

  it('refuses an expired certificate', async () => {
    const now = Date.now();
    const validity = { notBefore: new Date(now - 2 * DAY_MS), notAfter: new Date(now - DAY_MS) };
    await certificates.issue({ fleet: 'bench', role: 'sidecar', host: 'late' }, validity);
    const sidecar = startUnknownSidecar(certificates.trustSettings('late'), { host: 'late' });
    await sidecar.waitFor('trust.certificate_expired');
    await expectRefused(sidecar, /expired/i);
  });

  it('refuses a certificate of another authority', async () => {
    const other = await createCertificateAuthority('other', createValidityPeriod(DAY_MS));
    const identity = { fleet: 'bench', role: 'sidecar', host: 'foreign' };
    await certificates.issue(identity, undefined, 'foreign', other);
    await expectRefused(
      startUnknownSidecar(certificates.trustSettings('foreign'), { host: 'foreign' }),
      /certificate/,
    );
  });

  it('refuses a process whose certificate names another role or host', async () => {
    await certificates.issue({ fleet: 'bench', role: 'router', host: 'disguised' });
    await expectRefused(
      startUnknownSidecar(certificates.trustSettings('disguised'), { host: 'disguised' }),
      /role router, not sidecar/,
    );
    await certificates.issue({ fleet: 'bench', role: 'sidecar', host: 'disguised' });
    await expectRefused(
      startUnknownSidecar(certificates.trustSettings('disguised'), { host: 'host-of-model-2' }),
      /host disguised, not host-of-model-2/,
    );
  });

  it('refuses a process without TLS, and sends it no data', async () => {
    await expectPlaintextRefused(fleet.routers[0]?.linksAddress ?? '');
  });

  it('rotates certificates under load without losing a link', async () => {
    const processes = [...fleet.routers, ...fleet.sidecars];
    const countLostPeers = (): number =>
      processes
        .flatMap(({ process }) => process.events)
        .filter((event) => event['event'] === 'peer.lost').length;
    const before = countLostPeers();
    const calls = Array.from({ length: 12 }, (_, index) => chat(`during rotation ${index}`, 300));
    const answers = Promise.all(calls.map((call) => callChat(call)));
    for (const { host } of fleet.routers)
      await certificates.issue({ fleet: 'bench', role: 'router', host });
    for (const { host } of fleet.sidecars)
      await certificates.issue({ fleet: 'bench', role: 'sidecar', host });
    await Promise.all(processes.map(({ process }) => process.waitFor('trust.keys_loaded')));
    const results = await answers;
    results.forEach(({ text }, index) => {
      const call = calls[index];
      expect(text).to.equal(call === undefined ? '' : expectedAnswer(buildChatBody(call)));
    });
    expect(countLostPeers()).to.equal(before);
    await fleet.restartSidecar(fleet.findSidecar(ENDPOINT));
    await fleet.findSidecar(ENDPOINT).process.waitFor('peer.joined');
  });
});

/** Sends a plaintext request to an address and expects no response to it before the connection closes. */
async function expectPlaintextRefused(address: string): Promise<void> {
  const [host = '', port = ''] = address.split(':');
  const received = await new Promise<Buffer>((resolve) => {
    const parts: Buffer[] = [];
    const socket = connect({ host, port: Number(port) });
    socket.on('data', (bytes: Buffer) => parts.push(bytes));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(Buffer.concat(parts)));
    socket.write('{"jsonrpc":"2.0","id":1,"method":"configuration.fetch","params":{}}');
  });
  expect(received.toString('latin1')).not.to.contain('jsonrpc');
}
