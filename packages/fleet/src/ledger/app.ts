/**
 * Plug-in with a router's shard of the service ledger: the total service of each workspace, in one
 * ledger per endpoint kind. The totals are soft state; after a restart they are rebuilt from the
 * sidecars' full reports.
 */
import { EndpointKind, ServiceLedger } from '@poplarpick/decisions';
import { Plugin, registerPlugin, Role } from '@poplarpick/kernel';
import type { Kernel } from '@poplarpick/kernel';
import type { Peer } from '../link/link-hub.ts';
import { CallMethod, NotificationMethod } from '../messages.ts';
import type { LedgerReport, LedgerReportResult } from '../messages.ts';
import { ServiceColumnDecoder, ServiceColumnEncoder } from './service-columns.ts';
import { linkHubKey, statusBoardKey } from '../component-keys.ts';

/** Service that one workspace has received, in cost units divided by its weight. */
export interface WorkspaceService {
  workspace: string;
  /** Cost of what was produced, plus the provisional charges of running requests. */
  service: number;
  /** Credit that was removed when the workspace became backlogged after being idle. */
  lift: number;
  /** Debt that was forgiven because the workspace was too far ahead of the others. */
  forgiven: number;
  /** Virtual service by which sidecars choose the next workspace: `service + lift - forgiven`. */
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
      const mergeFromPeer = (report: LedgerReport): ServiceLedger => {
        const peer = hub.findPeerByLink(link);
        const ledger = ledgers.get(report.kind);
        if (peer === undefined || ledger === undefined)
          throw new Error('report from an unknown peer or for an unknown endpoint kind');
        mergeReport(ledger, peer, report, decoder);
        return ledger;
      };
      link.handleNotification(NotificationMethod.Service, (report) => {
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

/** Lists the service of each workspace for the process status, the least served first. */
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
  { sequence, entries, adjustments }: LedgerReport,
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
): LedgerReportResult {
  const { version, totals, adjustments } = ledger.changesSince(knownVersion);
  const answer: LedgerReportResult = { version };
  if (totals.workspaces.length > 0) answer.totals = encoder.encodeTotals(totals);
  if (adjustments.length > 0) answer.adjustments = adjustments;
  return answer;
}

registerPlugin(() => new LedgerPlugin());
