import type { pomeloturn } from "@pomeloturn/control-messages/generated/control";

/** Carries messages to the controllers of other VMs; they may be lost. */
export interface ControlTransport {
    send(vm: string, message: pomeloturn.control.IControlMessage): void;
    /** Sends to a controller whose VM is not known yet. */
    sendToAddress(address: string, message: pomeloturn.control.IControlMessage): void;
}
