//! The `questionnaire` command, which generates the configuration of a new deployment.

use std::fs;
use std::io::BufRead;
use std::io::IsTerminal;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use eyre::WrapErr;
use eyre::bail;
use lavenderhollow_config::Answers;
use lavenderhollow_config::Organisation;
use lavenderhollow_config::Priority;
use lavenderhollow_config::Problem;
use lavenderhollow_config::Service;
use lavenderhollow_config::TeamKeys;
use lavenderhollow_config::parse;
use lavenderhollow_config::to_text;
use lexopt::Arg;
use lexopt::Parser;

use super::help;
use super::required;
use crate::exit::Code;
use crate::exit::Failure;
use crate::input::format_problems;
use crate::input::parse_failure;
use crate::input::read_text;

const HELP: &str = "\
Generates a complete configuration for a new deployment.

Usage: lavenderhollow questionnaire [--answers FILE] --config FILE --keys FILE

Options:
  --answers FILE   read the answers from FILE; without it the command asks the questions and
                   writes the answers to 'answers.json' beside the configuration
  --config FILE    the file that the configuration is written to
  --keys FILE      the file that the keys of the teams are written to; keys that it contains
                   already are kept, so that the same answers give the same configuration
                   byte for byte. Keep this file secret: the configuration has only the hashes
";

#[derive(Default)]
struct Options {
    answers: Option<PathBuf>,
    config: Option<PathBuf>,
    keys: Option<PathBuf>,
}

pub(super) fn run(mut parser: Parser) -> eyre::Result<Code> {
    let mut options = Options::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return help(HELP),
            Arg::Long("answers") => options.answers = Some(parser.value()?.into()),
            Arg::Long("config") => options.config = Some(parser.value()?.into()),
            Arg::Long("keys") => options.keys = Some(parser.value()?.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    generate(&options)
}

fn generate(options: &Options) -> eyre::Result<Code> {
    let config_file = required(options.config.as_deref(), "--config")?;
    let keys_file = required(options.keys.as_deref(), "--keys")?;
    let answers_file = options.answers.as_deref().unwrap_or(Path::new("(answers)"));
    let answers = match &options.answers {
        Some(file) => parse(&read_text(file)?).map_err(|error| parse_failure(file, &error))?,
        None => ask_and_save(config_file)?,
    };
    let rejection = |problems: Vec<Problem>| {
        Failure::new(Code::Rejected, format_problems(answers_file, &problems))
    };
    let mut keys = read_keys(keys_file)?;
    answers.generate_keys(&mut keys).map_err(rejection)?;
    let config = answers.to_config(&keys).map_err(rejection)?;
    write_secret(keys_file, &to_text(&keys))?;
    fs::write(config_file, to_text(&config))
        .wrap_err_with(|| format!("can't write {}", config_file.display()))?;
    println!(
        "wrote {} ({} teams); their keys are in {}",
        config_file.display(),
        config.teams.len(),
        keys_file.display()
    );
    Ok(Code::Success)
}

fn read_keys(file: &Path) -> eyre::Result<TeamKeys> {
    if !file.exists() {
        return Ok(TeamKeys::new());
    }
    Ok(parse(&read_text(file)?).map_err(|error| parse_failure(file, &error))?)
}

/// Writes a file that only its owner can read. A file that exists keeps its permissions.
fn write_secret(file: &Path, text: &str) -> eyre::Result<()> {
    const OWNER_ONLY: u32 = 0o600;
    let result = fs::OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(OWNER_ONLY)
        .open(file)
        .and_then(|mut out| out.write_all(text.as_bytes()));
    result.wrap_err_with(|| format!("can't write {}", file.display()))
}

fn ask_and_save(config_file: &Path) -> eyre::Result<Answers> {
    let stdin = std::io::stdin();
    if !stdin.is_terminal() {
        eprintln!("reading the answers from standard input, one per line");
    }
    let answers = ask_answers(&mut Prompt(stdin.lock()))?;
    let file = config_file.with_file_name("answers.json");
    fs::write(&file, to_text(&answers))
        .wrap_err_with(|| format!("can't write {}", file.display()))?;
    Ok(answers)
}

struct Prompt<R>(R);

impl<R: BufRead> Prompt<R> {
    fn text(&mut self, question: &str) -> eyre::Result<String> {
        eprint!("{question}: ");
        let mut line = String::new();
        if self.0.read_line(&mut line)? == 0 {
            bail!("the input ended before {question:?} was answered");
        }
        Ok(line.trim().to_owned())
    }

    fn value<T: FromStr>(&mut self, question: &str, allowed: &str) -> eyre::Result<T> {
        loop {
            match self.text(question)?.parse() {
                Ok(value) => return Ok(value),
                Err(_) => eprintln!("please answer with {allowed}"),
            }
        }
    }

    fn yes_or_no(&mut self, question: &str) -> eyre::Result<bool> {
        loop {
            match self.text(&format!("{question} (yes or no)"))?.as_str() {
                "yes" | "y" => return Ok(true),
                "no" | "n" => return Ok(false),
                _ => eprintln!("please answer with yes or no"),
            }
        }
    }

    fn millis(&mut self, question: &str) -> eyre::Result<Duration> {
        let question = format!("{question}, in milliseconds");
        self.value(&question, "a whole number")
            .map(Duration::from_millis)
    }
}

fn ask_answers<R: BufRead>(prompt: &mut Prompt<R>) -> eyre::Result<Answers> {
    let deployment = prompt.text("Name of the deployment")?;
    let region = prompt.text("Region")?;
    let zones = prompt.text("Availability zones, separated by spaces")?;
    let slots_per_worker = prompt.value("Slots that a worker offers", "a whole number")?;
    let count: usize = prompt.value("How many services", "a whole number")?;
    let services = (0..count)
        .map(|_| ask_service(prompt))
        .collect::<eyre::Result<_>>()?;
    let count: usize = prompt.value("How many organisations", "a whole number")?;
    let organisations = (0..count)
        .map(|_| ask_organisation(prompt))
        .collect::<eyre::Result<_>>()?;
    Ok(Answers {
        deployment,
        region,
        zones: zones.split_whitespace().map(str::to_owned).collect(),
        slots_per_worker,
        services,
        organisations,
        priority: ask_priority(prompt)?,
    })
}

fn ask_service<R: BufRead>(prompt: &mut Prompt<R>) -> eyre::Result<Service> {
    let name = prompt.text("Name of the service")?;
    Ok(Service {
        workers: prompt.value(&format!("Workers of {name}"), "a whole number")?,
        open: prompt.yes_or_no(&format!("Does {name} accept requests without a key"))?,
        repeatable: prompt.yes_or_no(&format!("May a request of {name} safely run twice"))?,
        spare: prompt.yes_or_no(&format!("May workers of {name} be moved to other services"))?,
        deadline: prompt.millis(&format!("Longest wait of a caller of {name}"))?,
        run_time: prompt.millis(&format!("Usual run time of a request of {name}"))?,
        name,
    })
}

fn ask_organisation<R: BufRead>(prompt: &mut Prompt<R>) -> eyre::Result<Organisation> {
    let name = prompt.text("Name of the organisation")?;
    Ok(Organisation {
        share: prompt.value(
            &format!("Share of {name} when the fleet is at capacity"),
            "a whole number",
        )?,
        limit_percent: prompt.value(
            &format!("Upper limit of {name}, in percent of all slots"),
            "a whole number",
        )?,
        home: prompt.text(&format!("Availability zone nearest to {name}"))?,
        name,
    })
}

fn ask_priority<R: BufRead>(prompt: &mut Prompt<R>) -> eyre::Result<Priority> {
    loop {
        match prompt
            .text("What matters more (promptness, economy or balanced)")?
            .as_str()
        {
            "promptness" => return Ok(Priority::Promptness),
            "economy" => return Ok(Priority::Economy),
            "balanced" => return Ok(Priority::Balanced),
            _ => eprintln!("please answer with promptness, economy or balanced"),
        }
    }
}
