import type { pomeloturn } from "@pomeloturn/control-messages/generated/control";

/** Sends messages to the controllers of other VMs. Messages may be lost. */
export interface ControlTransport {
    send(vm: string, message: pomeloturn.control.IControlMessage): void;
    /** @param address "host:port" of a controller whose VM name is not known yet */
    sendToAddress(address: string, message: pomeloturn.control.IControlMessage): void;
}
