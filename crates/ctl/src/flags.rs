//! The flags of `cassiactl`.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Publishes contracts and inspects processes.
///
///
/// Exit codes: 0 success; 2 the input is invalid; 3 refused, because another
/// change came first or the customers' shares would exceed 100%; 4 the log or
/// a process can't be reached.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, generate(options))]
pub(crate) struct Options {
    /// Print results as JSON
    #[bpaf(long)]
    pub(crate) json: bool,
    #[bpaf(external(command))]
    pub(crate) command: Command,
}

/// Commands:
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum Command {
    /// Check a contract without publishing it
    #[bpaf(command)]
    Check {
        /// The contract, as JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the JSON schema of contracts
    #[bpaf(command)]
    Schema,
    /// Publish a contract, or amend the one in force
    #[bpaf(command)]
    Publish {
        /// Where the platform's log is
        #[bpaf(long, env("CASSIA_LOG"), argument("IP:PORT"))]
        log: SocketAddr,
        /// The revision to amend, 0 for a new customer; by default the one in
        /// force
        #[bpaf(long, argument("N"), optional)]
        revision: Option<u64>,
        /// The contract, as JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Withdraw a customer's contract
    #[bpaf(command)]
    Withdraw {
        /// Where the platform's log is
        #[bpaf(long, env("CASSIA_LOG"), argument("IP:PORT"))]
        log: SocketAddr,
        /// The revision to withdraw; by default the one in force
        #[bpaf(long, argument("N"), optional)]
        revision: Option<u64>,
        /// The customer
        #[bpaf(positional("CUSTOMER"))]
        customer: String,
    },
    /// Explain from the logs what happened to a request, item or batch job
    ///
    ///
    /// The logs of all hosts are read from standard input.
    #[bpaf(command)]
    Explain {
        /// The id of the request, item or batch job
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Show the contract in force
    #[bpaf(command)]
    Show {
        /// Where the platform's log is
        #[bpaf(long, env("CASSIA_LOG"), argument("IP:PORT"))]
        log: SocketAddr,
        /// The customer
        #[bpaf(positional("CUSTOMER"))]
        customer: String,
    },
    /// Show the outcome of each change that is still in the log
    #[bpaf(command)]
    History {
        /// Where the platform's log is
        #[bpaf(long, env("CASSIA_LOG"), argument("IP:PORT"))]
        log: SocketAddr,
        /// The customer
        #[bpaf(positional("CUSTOMER"))]
        customer: String,
    },
    /// Show the status of processes, one line each
    #[bpaf(command)]
    Status {
        /// The addresses that the processes serve operators at (--ops)
        #[bpaf(positional("IP:PORT"), some("at least one address is needed"))]
        ops: Vec<SocketAddr>,
    },
    /// Print the state dump of a process
    #[bpaf(command)]
    Dump {
        /// The address that the process serves operators at (--ops)
        #[bpaf(positional("IP:PORT"))]
        ops: SocketAddr,
    },
}
