import type { ConfigFile } from "@pomeloturn/merge-config/ConfigFile";
import { mergeConfigOrThrow } from "@pomeloturn/merge-config/mergeConfig";
import { loadSettings } from "@pomeloturn/settings/loadSettings";
import type { Configuration } from "@pomeloturn/types/Configuration";
import { readdirSync, readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { type CliSettings, cliSettingsSchema } from "../programs/cli/src/CliSettings.ts";
import { type ControllerSettings, controllerSettingsSchema } from "../programs/controller/src/ControllerSettings.ts";
import { type ProxySettings, proxySettingsSchema } from "../programs/proxy/src/ProxySettings.ts";
import { type StandinSettings, standinSettingsSchema } from "../programs/standin/src/StandinSettings.ts";
import { runCli } from "./support/runCli.ts";

/** Topology and sizes of each example deployment, as stated by its operators. */
const deployments = [
    {
        name: "erata",
        failureDomains: { "cluj-a": "ro-nord", "cluj-b": "ro-nord", "buc-a": "ro-sud" },
        latency: { betweenFailureDomainsMs: 1.5, betweenRegionsMs: 12 },
        service: "log-core",
        ranks: ["filing", "lookup", "notice"],
        slots: 2,
        connections: 16,
    },
    {
        name: "lakeshore",
        failureDomains: { "buffalo-a": "erie-east", "cleveland-b": "erie-east", "duluth-a": "superior-west" },
        latency: { betweenFailureDomainsMs: 0.5, betweenRegionsMs: 12 },
        service: "diary-ledger",
        ranks: ["order", "proof", "catalogue"],
        slots: 3,
        connections: 35,
    },
];

const GROUP_COUNT = 3;
const INSTANCE_COUNT = 3;
/** 20 Mbit/s. */
const LINK_BYTES_PER_SECOND = 2_500_000;

describe.each(deployments)("examples/$name", ({ name, failureDomains, latency, service, ranks, slots, connections }) => {
    const folder = `examples/${name}`;
    const listFiles = (prefix: string): string[] =>
        readdirSync(folder).filter(file => file.startsWith(prefix)).map(file => `${folder}/${file}`);
    const readConfig = (): Configuration => {
        const files: ConfigFile[] = readdirSync(`${folder}/config`)
            .map(file => ({ name: file, text: readFileSync(`${folder}/config/${file}`, "utf8") }));
        return mergeConfigOrThrow(files).configuration;
    };
    const proxies = listFiles("proxy-").map(file => loadSettings<ProxySettings>(file, proxySettingsSchema));
    const controllers = listFiles("controller-").map(file => loadSettings<ControllerSettings>(file, controllerSettingsSchema));
    const standin = loadSettings<StandinSettings>(`${folder}/standin.json`, standinSettingsSchema);
    const cli = loadSettings<CliSettings>(`${folder}/pomeloturn.json`, cliSettingsSchema);

    it("passes config check", async () => {
        expect(await runCli({}, "config", "check", `${folder}/config`)).toMatchObject({ exitCode: 0, stderr: "" });
    });

    it("has one file owned by finance, which contains only the links", () => {
        const contents = readdirSync(`${folder}/config`)
            .map(file => JSON.parse(readFileSync(`${folder}/config/${file}`, "utf8")) as { owner: string; links?: unknown; });
        const finance = contents.filter(({ owner }) => owner === "finance");
        expect(finance.map(content => Object.keys(content))).toEqual([["owner", "links"]]);
    });

    it("configures the failure domains, services, groups and links of the deployment", () => {
        const configuration = readConfig();
        expect(configuration).toMatchObject({ failureDomains, latency });
        expect(configuration.services[service]!.ranks.map(rank => rank.name)).toEqual(ranks);
        expect(Object.keys(configuration.groups)).toEqual(configuration.services[service]!.groups);
        expect(Object.keys(configuration.groups)).toHaveLength(GROUP_COUNT);
        for (const { instances } of Object.values(configuration.groups)) {
            expect(Object.values(instances)).toHaveLength(INSTANCE_COUNT);
            expect(Object.values(instances).map(instance => instance.failureDomain)).toEqual(Object.keys(failureDomains));
            Object.values(instances).forEach(instance => expect(instance).toMatchObject({ slots, connections }));
        }
        expect(configuration.links).toHaveLength(2);
        configuration.links.forEach(link => expect(link.approvedBytesPerSecond).toBeLessThanOrEqual(LINK_BYTES_PER_SECOND));
    });

    it("has stand-in databases at the ports that the configuration names", () => {
        const standinPorts = standin.groups.map(group => [group.name, Object.values(group.instances)]);
        const configuredPorts = Object.entries(readConfig().groups)
            .map(([group, { instances }]) => [group, Object.values(instances).map(({ port }) => port)]);
        expect(standinPorts).toEqual(configuredPorts);
    });

    it("has VMs in each failure domain whose settings refer to each other", () => {
        expect(new Set(proxies.map(proxy => proxy.failureDomain))).toEqual(new Set(Object.keys(failureDomains)));
        expect(proxies.length).toBeGreaterThanOrEqual(6);
        expect(proxies.length).toBeLessThanOrEqual(8);
        const selectAddress = ({ vm, failureDomain, peerPort, controllerPort }: ProxySettings | ControllerSettings): unknown => ({
            vm,
            failureDomain,
            peerPort,
            controllerPort,
        });
        expect(controllers.map(selectAddress)).toEqual(proxies.map(selectAddress));
        expect(standin.vms.map(vm => [vm.name, vm.failureDomain])).toEqual(proxies.map(proxy => [proxy.vm, proxy.failureDomain]));
        expect(cli.proxies).toEqual(Object.fromEntries(proxies.map(proxy => [proxy.vm, `${proxy.peerHost}:${proxy.operatorPort}`])));
        expect(cli.controllers).toEqual(Object.fromEntries(controllers.map(each => [each.vm, `${each.host}:${each.operatorPort}`])));
        for (const { host, controllerPort, seeds } of controllers) {
            expect(seeds).not.toContain(`${host}:${controllerPort}`);
            expect(seeds).toHaveLength(controllers.length - 1);
        }
    });

    it("uses each port only once", () => {
        const ports = [
            standin.platformPort,
            ...standin.groups.flatMap(group => Object.values(group.instances)),
            ...proxies.flatMap(({ callerPort, peerPort, operatorPort }) => [callerPort, peerPort, operatorPort]),
            ...controllers.flatMap(({ controllerPort, operatorPort }) => [controllerPort, operatorPort]),
        ];
        expect(new Set(ports).size).toBe(ports.length);
    });
});
