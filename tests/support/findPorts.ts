export { findPorts } from "@pomeloturn/standin/findPorts";
