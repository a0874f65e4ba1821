//! `comfreymux`: the operators' command line.

mod flags;
mod show;

use std::path::Path;
use std::process::ExitCode;

use comfreymux_lib::admin_client::AdminClient;
use comfreymux_lib::admin_client::ApplyResult;
use comfreymux_lib::admin_client::ClientError;
use comfreymux_lib::admin_client::new_edit_id;
use comfreymux_lib::table::Row;
use comfreymux_lib::table_file::read_csv;
use comfreymux_lib::table_file::write_csv;
use comfreymux_lib::trace;
use comfreymux_tools::demo;
use comfreymux_tools::report;
use comfreymux_tools::workload;
use comfreymux_tools::workload::Deployment;
use flags::Comfreymux;
use flags::ComfreymuxCmd;
use flags::Replay;
use flags::Table;
use flags::TableCmd;
use flags::Workload;
use miette::IntoDiagnostic;
use miette::WrapErr;
use serde_json::json;

/// Exit code for a conflict, a refusal or a violated guarantee.
const EXIT_REFUSED: u8 = 1;
/// Exit code for an unreachable daemon.
const EXIT_UNREACHABLE: u8 = 3;
/// Idle prices compared if `--prices` is not given.
const DEFAULT_PRICES: &str = "10,40,160,640";
/// Daemon address if neither `--daemon` nor `COMFREYMUX_DAEMON` is set.
const DEFAULT_DAEMON: &str = "http://127.0.0.1:8080";

fn main() -> ExitCode {
    let flags = Comfreymux::from_env_or_exit();
    match run(&flags) {
        Ok(code) => code,
        Err(report) => {
            eprintln!("{report:?}");
            let unreachable = matches!(
                report.downcast_ref::<ClientError>(),
                Some(ClientError::Unreachable { .. })
            );
            ExitCode::from(if unreachable { EXIT_UNREACHABLE } else { EXIT_REFUSED })
        }
    }
}

fn client(flags: &Comfreymux) -> AdminClient {
    let named = flags.daemon.clone().or_else(|| std::env::var("COMFREYMUX_DAEMON").ok());
    let base = named.unwrap_or_else(|| DEFAULT_DAEMON.to_owned());
    let base = if base.starts_with("http://") { base } else { format!("http://{base}") };
    AdminClient::new(base.trim_end_matches('/'))
}

fn run(flags: &Comfreymux) -> miette::Result<ExitCode> {
    let client = client(flags);
    match &flags.subcommand {
        ComfreymuxCmd::Table(table) => run_table(&client, flags.json, table),
        ComfreymuxCmd::Status(_) => {
            let value = client.get("status")?;
            show::value(flags.json, &value, show::status);
            Ok(ExitCode::SUCCESS)
        }
        ComfreymuxCmd::Explain(explain) => {
            let value = client.get(&format!("explain?id={}", explain.id))?;
            show::value(flags.json, &value, show::lines);
            let found = value["lines"].as_array().is_some_and(|l| !l.is_empty());
            Ok(if found { ExitCode::SUCCESS } else { ExitCode::from(EXIT_REFUSED) })
        }
        ComfreymuxCmd::Drain(_) => {
            let value = client.drain()?;
            show::value(flags.json, &value, |v| {
                println!("draining; {} requests in progress", v["active"]);
            });
            Ok(ExitCode::SUCCESS)
        }
        ComfreymuxCmd::Replay(replay) => match &replay.report {
            None => run_replay(flags.json, &replay.trace),
            Some(deployment) => run_report(flags.json, replay, deployment),
        },
        ComfreymuxCmd::Workload(workload) => run_workload(workload),
        ComfreymuxCmd::Demo(_) => run_demo(),
    }
}

fn read_rows(path: &Path) -> miette::Result<Vec<Row>> {
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read {}", path.display()))?;
    Ok(read_csv(&text)?)
}

fn run_table(client: &AdminClient, json: bool, table: &Table) -> miette::Result<ExitCode> {
    match &table.subcommand {
        TableCmd::Get(_) => {
            let table = client.table()?;
            if json {
                let rows: Vec<_> = table.iter().collect();
                println!("{}", json!({"rows": rows}));
            } else {
                print!("{}", write_csv(table.iter().map(|v| &v.row)));
            }
            Ok(ExitCode::SUCCESS)
        }
        TableCmd::Diff(diff) => {
            let changes = client.diff(&read_rows(&diff.file)?)?;
            show::value(json, &json!({"changes": changes}), |_| show::changes(&changes));
            Ok(ExitCode::SUCCESS)
        }
        TableCmd::Apply(apply) => {
            let author = apply.author.clone().unwrap_or_else(|| "operator".to_owned());
            let id = apply.id.clone().unwrap_or_else(|| new_edit_id(&author));
            let applied = client.apply(&read_rows(&apply.file)?, &author, &id)?;
            Ok(show_applied(json, &applied, &id))
        }
        TableCmd::History(_) => {
            let value = client.get("history")?;
            show::value(json, &value, show::history);
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn show_applied(json: bool, applied: &ApplyResult, id: &str) -> ExitCode {
    let (text, value) = match applied {
        ApplyResult::Unchanged => ("nothing to change".to_owned(), json!({"applied": "unchanged"})),
        ApplyResult::Accepted(position) => (
            format!("accepted: edit {id} is in force from log position {position} on"),
            json!({"applied": "accepted", "id": id, "position": position}),
        ),
        ApplyResult::Conflict(row) => (
            format!("conflict: `{row}` changed meanwhile; get the table and apply again"),
            json!({"applied": "conflict", "id": id, "row": row}),
        ),
    };
    show::value(json, &value, |_| println!("{text}"));
    let conflict = matches!(applied, ApplyResult::Conflict(_));
    if conflict { ExitCode::from(EXIT_REFUSED) } else { ExitCode::SUCCESS }
}

fn run_replay(json: bool, path: &Path) -> miette::Result<ExitCode> {
    let replayed = trace::replay(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("{} does not show its stated outcomes", path.display()))?;
    let value = serde_json::to_value(&replayed).into_diagnostic()?;
    show::value(json, &value, |_| {
        println!("{} events, {} stated outcomes met", replayed.events, replayed.met);
        for (what, count) in &replayed.counts {
            println!("{count:>8} {what:?}");
        }
    });
    Ok(ExitCode::SUCCESS)
}

fn deployment_named(name: &str) -> miette::Result<Deployment> {
    Deployment::named(name)
        .ok_or_else(|| miette::miette!("`{name}` is not tahi-ayos or teply-domov"))
}

fn run_workload(flags: &Workload) -> miette::Result<ExitCode> {
    let deployment = deployment_named(&flags.deployment)?;
    let arrivals = deployment.arrivals(flags.seed.unwrap_or(1), flags.hours.unwrap_or(24));
    print!("{}", workload::write_csv(&arrivals).into_diagnostic()?);
    Ok(ExitCode::SUCCESS)
}

fn run_report(json: bool, flags: &Replay, deployment: &str) -> miette::Result<ExitCode> {
    let deployment = deployment_named(deployment)?;
    let text = std::fs::read_to_string(&flags.trace)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read {}", flags.trace.display()))?;
    let arrivals = workload::read_csv(&text).into_diagnostic()?;
    let list = flags.prices.as_deref().unwrap_or(DEFAULT_PRICES);
    let prices: Result<Vec<f64>, _> = list.split(',').map(str::parse).collect();
    let prices = prices.into_diagnostic().wrap_err("--prices takes numbers, as 10,40")?;
    let outcomes = report::compare(&deployment, flags.seed.unwrap_or(1), &arrivals, &prices)
        .map_err(|breach| miette::miette!("a promise was broken: {}", breach.0))?;
    if let Some(path) = &flags.plot {
        report::plot(path, deployment.name, &outcomes)
            .map_err(|e| miette::miette!("cannot draw {}: {e}", path.display()))?;
    }
    let value = json!({"outcomes": outcomes});
    show::value(json, &value, |_| {
        print!("{}", report::table(&outcomes));
        print!("{}", report::bound_table(&deployment, &arrivals, &outcomes));
    });
    Ok(ExitCode::SUCCESS)
}

fn run_demo() -> miette::Result<ExitCode> {
    let broken = demo::run(&mut std::io::stdout()).into_diagnostic()?;
    Ok(if broken == 0 { ExitCode::SUCCESS } else { ExitCode::from(EXIT_REFUSED) })
}
