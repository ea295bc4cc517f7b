/// Sub-commands of `ebonypinctl`.
#pragma once

#include <string>
#include <vector>

#include "context.h"

namespace ebonypin::ctl {

/// Positional arguments after the name of the command.
using Arguments = std::vector<std::string>;

struct Command {
  std::string m_name;        ///< One or two words, for example "class apply".
  std::string m_parameters;  ///< Names of the arguments, separated by spaces, such as "FILE".
  std::string m_summary;
  std::string m_details;
  std::vector<std::string> m_flags;  ///< Flags besides --entry, --json, --timeout and --operator.
  int (*m_run)(Context&, const Arguments&);
};

/// Command that the command line names, or the message why there is no match.
struct Match {
  const Command* m_command = nullptr;
  Arguments m_arguments;
  std::string m_error;
};

/// Returns all commands in the order in which the help lists them.
[[nodiscard]] const std::vector<Command>& Commands();

/// Finds the command that `words` start with, and checks the number of arguments and that the
/// command accepts every flag in `set_flags`.
[[nodiscard]] Match MatchCommand(const std::vector<std::string>& words,
                                 const std::vector<std::string>& set_flags);

/// Returns the help of the command that `words` name, a list of the commands that start with
/// `words`, or, without a match, a list of all commands.
[[nodiscard]] std::string HelpFor(const std::vector<std::string>& words);

int ClassApply(Context& context, const Arguments& arguments);
int ClassCheck(Context& context, const Arguments& arguments);
int ClassList(Context& context, const Arguments& arguments);
int ClassShow(Context& context, const Arguments& arguments);
int ClassRemove(Context& context, const Arguments& arguments);

int Status(Context& context, const Arguments& arguments);
int Queues(Context& context, const Arguments& arguments);
int Instances(Context& context, const Arguments& arguments);
int Stuck(Context& context, const Arguments& arguments);
int Drain(Context& context, const Arguments& arguments);
int Undrain(Context& context, const Arguments& arguments);
int Audit(Context& context, const Arguments& arguments);

int Request(Context& context, const Arguments& arguments);
int JobSubmit(Context& context, const Arguments& arguments);
int JobStatus(Context& context, const Arguments& arguments);
int JobResult(Context& context, const Arguments& arguments);
int JobCancel(Context& context, const Arguments& arguments);
int Watch(Context& context, const Arguments& arguments);

}  // namespace ebonypin::ctl
