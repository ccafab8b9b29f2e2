import { createLogger } from "@pomeloturn/logger/createLogger";
import { loadPlatformSettings } from "@pomeloturn/platform/PlatformSettings";
import { findSettingsFile } from "@pomeloturn/platform/tables";
import { Entry } from "./Entry.ts";

const settings = loadPlatformSettings(findSettingsFile(process.env));
Entry.create(settings, createLogger("entry", settings.vm)).start();
