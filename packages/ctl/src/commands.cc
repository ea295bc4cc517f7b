#include "commands.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>

namespace ebonypin::ctl {
namespace {

using Words = std::vector<std::string>;

const Words kCommonFlags{"entry", "json", "timeout", "operator"};
const Words kWorkFlags{"class", "id",         "key",    "payload",      "deadline",
                       "run",   "cpu_millis", "memory", "accelerators", "non_idempotent"};

constexpr const char* kExitCodes =
    "exit codes:\n"
    "  0  done\n"
    "  1  wrong command line\n"
    "  2  a file or value was refused before anything was sent\n"
    "  3  not run: an entry refused, nothing was run or changed\n"
    "  4  revision conflict: another change came first; the current value is shown\n"
    "  5  unknown: it may have run or taken effect\n"
    "  6  no entry could be reached, nothing was sent\n"
    "  7  the work ended otherwise than succeeded\n";

Words Split(const std::string& text) {
  std::istringstream stream(text);
  Words words;
  for (std::string word; stream >> word;) words.push_back(word);
  return words;
}

Words WithFlag(Words words, const std::string& more) {
  words.push_back(more);
  return words;
}

std::string UsageLine(const Command& command) {
  return fmt::format("ebonypinctl {}{}{}", command.m_name, command.m_parameters.empty() ? "" : " ",
                     command.m_parameters);
}

std::string FlagLines(const Words& names) {
  std::string text;
  for (const auto& name : names) text += fmt::format("  --{}: {}\n", name, FlagHelp(name));
  return text;
}

std::string DetailedHelp(const Command& command) {
  auto text = fmt::format("{}\n\nusage: {}\n", command.m_summary, UsageLine(command));
  if (!command.m_details.empty()) text += '\n' + command.m_details + '\n';
  auto flags = command.m_flags;
  flags.insert(flags.end(), kCommonFlags.begin(), kCommonFlags.end());
  return text + "\nflags:\n" + FlagLines(flags) + '\n' + kExitCodes;
}

/// Returns whether `words` start with every word of `name`.
bool StartsWith(const Words& words, const Words& name) {
  return words.size() >= name.size() && std::equal(name.begin(), name.end(), words.begin());
}

bool Accepts(const Command& command, const std::string& flag) {
  const auto in = [&](const Words& flags) {
    return std::find(flags.begin(), flags.end(), flag) != flags.end();
  };
  return in(command.m_flags) || in(kCommonFlags);
}

}  // namespace

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands = {
      {"class apply",
       "FILE",
       "Create or change the classes in FILE",
       "Each class is compared with its current revision and sent only when it differs. A change "
       "that another operator\nmade in between is not overwritten: the command shows it and ends "
       "with exit code 4.\n\nexample: ebonypinctl class apply examples/krakow.ini",
       {"base_revision"},
       ClassApply},
      {"class check", "FILE", "Check the classes in FILE without sending them", "", {}, ClassCheck},
      {"class list", "", "List all classes with their targets", "", {}, ClassList},
      {"class show", "NAME", "Show one class in the form of a class file", "", {}, ClassShow},
      {"class remove",
       "NAME",
       "Remove a class",
       "New work of the class is refused from then on.",
       {"base_revision"},
       ClassRemove},
      {"status", "", "Show an entry, its log, the other entries and the shards", "", {}, Status},
      {"queues", "", "Show what runs and waits at each instance", "", {}, Queues},
      {"instances", "", "Show the instances with committed resources and state", "", {}, Instances},
      {"stuck", "", "Show what holds work back, with effect and remedy", "", {}, Stuck},
      {"drain",
       "ID",
       "Give no new work to an instance",
       "Work in progress ends. With --wait the command ends when nothing is left.",
       {"wait"},
       Drain},
      {"undrain", "ID", "Give work to an instance again", "", {}, Undrain},
      {"audit",
       "",
       "Show the changes of classes and drains, oldest first",
       "Columns: log offset, time, operator, subject, old -> new value, outcome.",
       {"follow", "count", "limit"},
       Audit},
      {"request", "", "Run a request and print its result",
       "The answer 'not run' (exit code 3) means that the work was not run. A request is sent to "
       "the next entry only when\nit was certainly not run.\n\nexample: ebonypinctl request "
       "--class=preview --payload=@plate.txt --deadline=500ms",
       kWorkFlags, Request},
      {"job submit", "", "Submit a job and print its id",
       "The job is in the log when its id is printed. Submitting again with the same --key gets "
       "the same job.\n\nexample: ebonypinctl job submit --class=render --payload=@plate.txt "
       "--wait",
       WithFlag(kWorkFlags, "wait"), JobSubmit},
      {"job status", "JOB", "Show where a job stands", "", {"wait"}, JobStatus},
      {"job result", "JOB", "Print the result of a job", "", {"wait"}, JobResult},
      {"job cancel",
       "JOB",
       "Cancel a job",
       "A job that has not started never starts. A running attempt is stopped.",
       {},
       JobCancel},
      {"watch",
       "TOPIC",
       "Print the updates of a topic as they come",
       "Columns: sequence, update id, value. No update is dropped or printed twice, also when an "
       "entry fails.",
       {"cursor", "count"},
       Watch},
  };
  return commands;
}

Match MatchCommand(const std::vector<std::string>& words,
                   const std::vector<std::string>& set_flags) {
  for (const auto& command : Commands()) {
    const auto name = Split(command.m_name);
    if (!StartsWith(words, name)) continue;
    Match match{
        .m_command = &command,
        .m_arguments = {words.begin() + static_cast<std::ptrdiff_t>(name.size()), words.end()}};
    if (match.m_arguments.size() != Split(command.m_parameters).size()) {
      match.m_error = fmt::format("wrong number of arguments; usage: {}", UsageLine(command));
    }
    for (const auto& flag : set_flags) {
      if (!Accepts(command, flag)) {
        match.m_error = fmt::format("--{} has no effect on '{}'; see 'ebonypinctl {} --help'", flag,
                                    command.m_name, command.m_name);
      }
    }
    return match;
  }
  const auto given = fmt::format("{}", fmt::join(words, " "));
  return {.m_error = words.empty()
                         ? "no command; see 'ebonypinctl --help'"
                         : fmt::format("unknown command '{}'; see 'ebonypinctl --help'", given)};
}

std::string HelpFor(const std::vector<std::string>& words) {
  std::vector<const Command*> chosen;
  for (const auto& command : Commands()) {
    const auto name = Split(command.m_name);
    if (StartsWith(words, name)) return DetailedHelp(command);
    if (StartsWith(name, words)) chosen.push_back(&command);
  }
  if (chosen.empty()) {
    for (const auto& command : Commands()) chosen.push_back(&command);
  }
  std::string text =
      "command line of ebonypin\n\nusage: ebonypinctl COMMAND [--flag=value ...]\n\n";
  for (const auto* const command : chosen) {
    const auto left =
        command->m_name + (command->m_parameters.empty() ? "" : " ") + command->m_parameters;
    text += fmt::format("  {:<18} {}\n", left, command->m_summary);
  }
  return text +
         "\n'ebonypinctl COMMAND --help' explains one command.\n\nflags of every command:\n" +
         FlagLines(kCommonFlags) + '\n' + kExitCodes;
}

}  // namespace ebonypin::ctl
