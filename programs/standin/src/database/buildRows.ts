import { BackendType } from "@pomeloturn/wire-messages/messageTypes";
import { Writer } from "pg-protocol/dist/buffer-writer.js";

const TEXT_TYPE_OID = 25;
const VARIABLE_SIZE = -1;

const writer = new Writer();

/** Builds a RowDescription message for text columns. */
export const buildRowDescription = (columns: readonly string[]): Buffer => {
    writer.addInt16(columns.length);
    for (const column of columns) {
        writer.addCString(column).addInt32(0).addInt16(0);
        writer.addInt32(TEXT_TYPE_OID).addInt16(VARIABLE_SIZE).addInt32(VARIABLE_SIZE).addInt16(0);
    }
    return Buffer.from(writer.flush(BackendType.RowDescription));
};

/** Builds a DataRow message of text values; undefined becomes NULL. */
export const buildDataRow = (values: readonly (string | undefined)[]): Buffer => {
    writer.addInt16(values.length);
    for (const value of values) {
        if (value === undefined) {
            writer.addInt32(-1);
        }
        else {
            writer.addInt32(Buffer.byteLength(value)).addString(value);
        }
    }
    return Buffer.from(writer.flush(BackendType.DataRow));
};

/** Builds an ErrorResponse message. */
export const buildDatabaseError = (sqlState: string, message: string): Buffer => {
    writer.addString("S").addCString("ERROR").addString("V").addCString("ERROR");
    writer.addString("C").addCString(sqlState).addString("M").addCString(message).addCString("");
    return Buffer.from(writer.flush(BackendType.ErrorResponse));
};
