/**
 * Plug-in with the ledger shards of a router: soft-state totals of service per workspace, one ledger
 * for each kind of endpoint, rebuilt from the sidecars' full reports after a restart.
 */
import { EndpointKind, ServiceLedger } from '@poplarpick/decisions';
import { Plugin, registerPlugin, Role } from '@poplarpick/kernel';
import type { Kernel } from '@poplarpick/kernel';
import type { Peer } from '../link/link-hub.ts';
import { CallMethod, NoticeMethod } from '../messages.ts';
import type { Report, ReportAnswer } from '../messages.ts';
import { ServiceColumnDecoder, ServiceColumnEncoder } from './service-columns.ts';
import { linkHubKey, statusBoardKey } from '../parts.ts';

/** Service of one workspace, in cost units divided by its weight. */
export interface WorkspaceService {
  workspace: string;
  /** Cost of what was produced, with provisional charges of what runs. */
  service: number;
  /** Credit that was taken away when it began to wait after an idle time. */
  lift: number;
  /** Debt that was dropped because it was too far ahead. */
  forgiven: number;
  /** What the choice goes by. */
  virtual: number;
}

class LedgerPlugin extends Plugin {
  override readonly name = 'ledger';
  override readonly roles = [Role.Router];
  override readonly requires = ['links'];

  override async start(kernel: Kernel): Promise<void> {
    const hub = kernel.resolve(linkHubKey);
    const ledgers = new Map(Object.values(EndpointKind).map((kind) => [kind, new ServiceLedger()]));
    hub.onLink((link) => {
      const decoder = new ServiceColumnDecoder();
      const encoders = new Map(
        Object.values(EndpointKind).map((kind) => [kind, new ServiceColumnEncoder()]),
      );
      const mergeFromPeer = (report: Report): ServiceLedger => {
        const peer = hub.peerOf(link);
        const ledger = ledgers.get(report.kind);
        if (peer === undefined || ledger === undefined) throw new Error('report of a stranger');
        mergeReport(ledger, peer, report, decoder);
        return ledger;
      };
      link.handleNotice(NoticeMethod.Service, (report) => {
        mergeFromPeer(report);
      });
      link.handleCall(CallMethod.Report, (report) =>
        createReportAnswer(mergeFromPeer(report), report.known, encoders.get(report.kind)),
      );
    });
    kernel
      .resolve(statusBoardKey)
      .add('service', () =>
        [...ledgers].map(([kind, ledger]) => ({ kind, workspaces: listWorkspaceService(ledger) })),
      );
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    return Promise.resolve();
  }
}

/** Service of each workspace as operators see it, the least served first. */
function listWorkspaceService(ledger: ServiceLedger): WorkspaceService[] {
  const { totals, adjustments } = ledger.changesSince(0);
  return totals.workspaces
    .map((workspace, index) => {
      const service = totals.services[index] ?? 0;
      const found = adjustments.find((adjustment) => adjustment.workspace === workspace);
      const { lift, forgiven } = found ?? { lift: 0, forgiven: 0 };
      return { workspace, service, lift, forgiven, virtual: service + lift - forgiven };
    })
    .sort((a, b) => a.virtual - b.virtual);
}

function mergeReport(
  ledger: ServiceLedger,
  { incarnation, endpoint, host }: Peer,
  { sequence, entries, adjustments }: Report,
  decoder: ServiceColumnDecoder,
): void {
  if (entries !== undefined) {
    const row = { incarnation, sequence, entries: decoder.decodeEntries(entries) };
    ledger.mergeRow({ endpoint: endpoint ?? host, ...row });
  }
  if (adjustments !== undefined) ledger.mergeAdjustments(adjustments);
}

function createReportAnswer(
  ledger: ServiceLedger,
  knownVersion: number,
  encoder = new ServiceColumnEncoder(),
): ReportAnswer {
  const { version, totals, adjustments } = ledger.changesSince(knownVersion);
  const answer: ReportAnswer = { version };
  if (totals.workspaces.length > 0) answer.totals = encoder.encodeTotals(totals);
  if (adjustments.length > 0) answer.adjustments = adjustments;
  return answer;
}

registerPlugin(() => new LedgerPlugin());
