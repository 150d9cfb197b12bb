//! The flags of `cassiactl`.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Publishes contracts and looks at processes.
///
///
/// Exit codes: 0 done; 2 what was given can't be accepted; 3 refused, since
/// another change came first or the shares exceed the whole; 4 the log or a
/// process can't be reached.
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
    /// Check a contract; nothing is published
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
        /// The revision that is amended, 0 for a new customer; by default the
        /// one in force
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
        /// The revision that is withdrawn; by default the one in force
        #[bpaf(long, argument("N"), optional)]
        revision: Option<u64>,
        /// The customer
        #[bpaf(positional("CUSTOMER"))]
        customer: String,
    },
    /// Explain what became of a request, an item or a batch job, by the logs
    /// of all hosts on standard input
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
    /// Show what became of each change that the log still has
    #[bpaf(command)]
    History {
        /// Where the platform's log is
        #[bpaf(long, env("CASSIA_LOG"), argument("IP:PORT"))]
        log: SocketAddr,
        /// The customer
        #[bpaf(positional("CUSTOMER"))]
        customer: String,
    },
    /// Show how processes stand, a line each
    #[bpaf(command)]
    Status {
        /// The processes' operators' addresses
        #[bpaf(positional("IP:PORT"), some("at least one address is needed"))]
        ops: Vec<SocketAddr>,
    },
    /// Print a process's state
    #[bpaf(command)]
    Dump {
        /// The process's operators' address
        #[bpaf(positional("IP:PORT"))]
        ops: SocketAddr,
    },
}
