// Generates docs/CAPACITY.md from the measurements in docs/measures, so that its figures match the latest measurements.
import { readFileSync, writeFileSync } from "node:fs";

const NODES = 450;
const GROUPS = 560;
const CALLERS = 960_000;
const STATEMENTS_PER_SECOND = 1_700_000;
const REGION_MEASUREMENT = "two proxies";

const read = name => JSON.parse(readFileSync(`docs/measures/${name}.json`, "utf8"));
const path = read("path");
const decisions = read("decisions");
const control = read("control");

const findBusiest = name =>
    path.measurements.filter(each => each.path === name).sort((left, right) => right.connections - left.connections)[0];
const twoProxies = findBusiest(REGION_MEASUREMENT);
const statementsPerNode = STATEMENTS_PER_SECOND / NODES;
const callersPerNode = CALLERS / NODES;
const formatCoreShare = us => `${(us * statementsPerNode / 1e4).toFixed(0)}% of a core`;
const entryUs = twoProxies.cpuUsPerStatement.entry;
const holderUs = twoProxies.cpuUsPerStatement.holder;
const bytesPerCaller = (path.idle.residentBytes - path.idle.beforeBytes) / path.idle.connections;
const formatMegabytes = bytes => (bytes / 1e6).toFixed(0);
const findFit = name => control.fits[name];
const estimateAt450Nodes = name => findFit(name)[Object.keys(findFit(name)).find(key => key.startsWith("at450"))];

const formatControlRow = (label, name, target, digits) =>
    `| ${label} | ${control.costs.map(each => each[name].toFixed(digits)).join(" / ")} | ${findFit(name).slopePerNode.toPrecision(2)} | ${
        findFit(name).largestResidual.toPrecision(2)
    } | ${estimateAt450Nodes(name).toFixed(digits)} | ${target} |`;

const page = `# Capacity: what does each role cost at the size to design for?

Written by \`node scripts/make-capacity.js\` from \`docs/measures/*.json\`. Size to design for: ${NODES} nodes, ${GROUPS} database groups, ${
    CALLERS.toLocaleString("en")
} callers, ${STATEMENTS_PER_SECOND.toLocaleString("en")} statements a second; that is ${Math.round(callersPerNode)} callers and ${
    Math.round(statementsPerNode)
} statements a second a node. Every statement is costed as forwarded: entry at one node, holder at another.

## Statements (\`npm run bench\`, ${twoProxies.connections} callers in a closed loop)

| role | processor a statement | at ${Math.round(statementsPerNode)} statements/s a node | state | messages | mechanism |
| --- | --- | --- | --- | --- | --- |
| entry | ${entryUs} us | ${formatCoreShare(entryUs)} | ${
    Math.round(bytesPerCaller / 1000)
} kB a caller | one request and one answer a statement, batched by turn of the event loop | sessions, token, routing by reports |
| holder | ${holderUs} us | ${formatCoreShare(holderUs)} | ${
    (GROUPS * 3 / NODES).toFixed(1)
} instances a node: queues, slots, connections | as the entry; two or three queries a statement at the instance | one holder an instance, so connections do not grow with nodes |
| both on a node | ${entryUs + holderUs} us | ${formatCoreShare(entryUs + holderUs)} | ${formatMegabytes(path.idle.beforeBytes)} MB and ${
    formatMegabytes(bytesPerCaller * callersPerNode)
} MB of callers | | one process, one core |

The decision alone (\`npm run bench:decisions\`): ${
    decisions.map(each => `${(each.nsPerStatement / 1000).toFixed(1)} us at ${each.groupCount} groups`).join(", ")
}; target 10 us: ${decisions.every(each => each.nsPerStatement <= 10_000) ? "met in this run" : "missed in this run"}.

## Control (\`node dist/bench.cjs control\`, ${control.costs.map(each => each.nodes).join(", ")} nodes in one process with fakes)

| per node | measured | slope a node | largest residual | line at ${NODES} nodes | target |
| --- | --- | --- | --- | --- | --- |
${formatControlRow("bytes sent a second", "sentBytesPerSecond", "3,000", 0)}
${formatControlRow("share of a core, percent", "coreSharePercent", "2.8", 2)}
${formatControlRow("store reads a second, all nodes", "storeReadsPerSecond", "1,000", 1)}
${formatControlRow("store writes a second, all nodes", "storeWritesPerSecond", "200", 1)}

Bytes include an estimate of 74 a batch for transport. Memory of control is not measured usably yet: the difference of heaps was noise at these sizes. Bytes miss the target at every size.

## The day's events, by mechanism

| event | a day | what it costs | carried by |
| --- | --- | --- | --- |
| primary replaced | 2 | one row change and a few probes each; gap p50 2.8 s, worst 6.3 s over the fault table in virtual time | leases witnessed by five controllers, \`docs/design/leases.md\` |
| configuration changed | 880 | a row change and an object each; a few controllers a failure domain poll the head and push | \`docs/design/configuration.md\` |
| VM fails | 6 | its holderships move, ${
    (GROUPS * 3 / NODES).toFixed(1)
} instances; connections are opened with bounded concurrency | rendezvous hashing, \`docs/design/holders.md\` |
| VM restarts | 130 | a graceful shutdown each, at most its deadline | \`docs/design/drain.md\` |
| rack or failure domain | a few a quarter | as many promotions as primaries it held, in parallel; not measured together | leases |
| regions apart for an hour | now and then | each side serves what it can prove; links' leases run out and the static share is left | \`docs/design/paid-link.md\` |

## The platform's entry (one process a VM)

| per VM | measured | grows with | mechanism |
| --- | --- | --- | --- |
| processor | 0.65 s in a quiet day of 46 s at 34 operations/s (erata-cluj), start included | statements; 0.10 s a start | no hop between VMs, no actor a statement |
| memory | 18 MB at the peak as billed; 98 descriptors | sessions, connections | nothing is kept beyond the process |
| store calls, 8 VMs | 35 in 46 s, of which 21 while all start; then one in 4 s for the configuration, and one a change | VMs: each follows three tables | long waits; changes read together |
| store calls, domains of four VMs or more | 663 for 69 VMs in a quiet day of 50 s (erata-cluj-grown); by the code two a VM that starts, the rest by six relays | failure domains, not VMs | \`packages/process/table-relay\`: one VM a domain reads for the others |
| connections to an instance | at most twice the share; one kept where the share is one or more, else closed after 0.12 s | VMs and instances | \`packages/connection/instance-pool\` |

At 450 VMs connections would be fewer than one in ten VMs an instance: that needs pooling between VMs, or fewer VMs an instance (design/large-fleets.md). \`fleetbench sweep\` has not been run: these are figures of single sites, not slopes.

## What breaks first, and what would be changed

1. **Control bytes**: the lease's renewals to five witnesses a group. Groups of one holder would share witnesses, so that one batch a witness carries them.
2. **Memory of a node**: ${
    formatMegabytes(path.idle.residentBytes)
} MB with ${path.idle.connections} idle callers against 128 MB. The start-up objects and per-session closures would go.
3. **One core a node**: entry and holder together use ${
    formatCoreShare(entryUs + holderUs)
}; a burst of three times the mean does not fit. The position query after each write and the record query are the first to merge.
`;
writeFileSync("docs/CAPACITY.md", page);
