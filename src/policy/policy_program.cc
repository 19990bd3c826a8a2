#include "policy/policy_program.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <vector>

#include "common/result_code.h"

extern "C" {
#include <lauxlib.h>
#include <lua.h>
#include <lualib.h>
}

namespace pumicedyke::policy {
namespace {

constexpr char kChunkName[] = "=policy";

/// Functions of the base library that are removed because they load code or circumvent the limits.
constexpr std::array kRemovedGlobals = {
    "load",    "loadfile", "dofile", "collectgarbage", "print",        "pcall", "xpcall",
    "require", "rawset",   "rawget", "setmetatable",   "getmetatable", "warn"};

void* LimitedAllocate(void* user, void* block, size_t old_size, size_t new_size) {
  auto* memory = static_cast<PolicyProgram::Memory*>(user);
  const size_t old_bytes = block == nullptr ? 0 : old_size;
  if (new_size == 0) {
    memory->used -= old_bytes;
    std::free(block);
    return nullptr;
  }
  if (new_size > old_bytes && memory->used + (new_size - old_bytes) > kMaxMemoryBytes) {
    return nullptr;
  }
  void* result = std::realloc(block, new_size);
  if (result != nullptr) {
    memory->used += new_size - old_bytes;
  }
  return result;
}

void StopAtLimit(lua_State* lua, lua_Debug* /*activation*/) {
  luaL_error(lua, "more than %d instructions", kMaxInstructions);
}

/// Called in protected mode, so that running out of memory is an error instead of an abort.
int OpenSandbox(lua_State* lua) {
  luaL_requiref(lua, LUA_GNAME, luaopen_base, 1);
  luaL_requiref(lua, LUA_MATHLIBNAME, luaopen_math, 1);
  for (const char* name : kRemovedGlobals) {
    lua_pushnil(lua);
    lua_setglobal(lua, name);
  }
  lua_settop(lua, 0);
  return 0;
}

absl::Status Rejected(const std::string& reason) {
  return MakeStatus(ResultCode::kPolicyRejected, "policy: " + reason);
}

/// Reads the fields of the table on top of the stack.
class PlanReader {
 public:
  explicit PlanReader(lua_State* lua) : lua_(lua) {}

  void Number(const char* field, double low, double high, double* out) {
    lua_getfield(lua_, -1, field);
    if (lua_isnumber(lua_, -1) != 0) {
      const double value = lua_tonumber(lua_, -1);
      if (std::isfinite(value) && value >= low && value <= high) {
        *out = value;
      } else {
        Fail(field, "must be a number from " + Trim(low) + " to " + Trim(high));
      }
    } else if (!lua_isnil(lua_, -1)) {
      Fail(field, "must be a number");
    }
    lua_pop(lua_, 1);
  }

  void Boolean(const char* field, bool* out) {
    lua_getfield(lua_, -1, field);
    if (lua_isboolean(lua_, -1)) {
      *out = lua_toboolean(lua_, -1) != 0;
    } else if (!lua_isnil(lua_, -1)) {
      Fail(field, "must be true or false");
    }
    lua_pop(lua_, 1);
  }

  /// Fails on unknown fields, so that a misspelt field is not treated as unset.
  void RejectUnknownFields(const std::vector<std::string>& known) {
    lua_pushnil(lua_);
    while (lua_next(lua_, -2) != 0) {
      const bool is_string = lua_type(lua_, -2) == LUA_TSTRING;
      const std::string key = is_string ? lua_tostring(lua_, -2) : "(not a name)";
      if (std::find(known.begin(), known.end(), key) == known.end()) {
        Fail(key, "is not known");
      }
      lua_pop(lua_, 1);
    }
  }

  const absl::Status& status() const { return status_; }

 private:
  static std::string Trim(double value) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%g", value);
    return text.data();
  }

  void Fail(const std::string& field, const std::string& reason) {
    if (status_.ok()) {
      status_ = Rejected("plan field '" + field + "' " + reason);
    }
  }

  lua_State* lua_;
  absl::Status status_;
};

Duration FromMilliseconds(double milliseconds) {
  return Duration(static_cast<int64_t>(milliseconds * 1000.0));
}

absl::StatusOr<QueryPlan> ReadPlan(lua_State* lua, const QueryPlan& defaults) {
  if (!lua_istable(lua, -1)) {
    return Rejected("plan() must return a table");
  }
  const double max_ms = ToMilliseconds(kMaxDeadline);
  QueryPlan plan = defaults;
  double deadline_ms = ToMilliseconds(defaults.deadline);
  double wait_ms = -1;
  double priority = defaults.priority;
  PlanReader reader(lua);
  reader.Number("deadline_ms", 1, max_ms, &deadline_ms);
  reader.Number("wait_ms", 0, max_ms, &wait_ms);
  reader.Number("coverage", 0, 1, &plan.min_coverage);
  reader.Number("extra_load", 0, 1, &plan.extra_load);
  reader.Number("hedge_quantile", 0.5, 0.999, &plan.hedge_quantile);
  reader.Number("priority", 0, 9, &priority);
  reader.Boolean("hedge", &plan.hedge);
  reader.Boolean("repeatable", &plan.repeatable);
  reader.RejectUnknownFields({"deadline_ms", "wait_ms", "coverage", "extra_load", "hedge_quantile",
                              "priority", "hedge", "repeatable"});
  if (!reader.status().ok()) {
    return reader.status();
  }
  plan.deadline = FromMilliseconds(deadline_ms);
  plan.wait = wait_ms < 0 ? plan.deadline : FromMilliseconds(std::min(wait_ms, deadline_ms));
  plan.priority = static_cast<int>(priority);
  plan.hedge = plan.hedge && plan.repeatable;
  return plan;
}

}  // namespace

PolicyProgram::~PolicyProgram() {
  if (lua_ != nullptr) {
    lua_close(lua_);
  }
}

absl::Status PolicyProgram::LastError() {
  const char* text = lua_tostring(lua_, -1);
  absl::Status status = Rejected(text == nullptr ? "unknown error" : text);
  lua_settop(lua_, 0);
  return status;
}

absl::Status PolicyProgram::Call(int arguments, int results) {
  lua_sethook(lua_, &StopAtLimit, LUA_MASKCOUNT, kMaxInstructions);
  return lua_pcall(lua_, arguments, results, 0) == LUA_OK ? absl::OkStatus() : LastError();
}

absl::StatusOr<std::unique_ptr<PolicyProgram>> PolicyProgram::Compile(const std::string& source) {
  std::unique_ptr<PolicyProgram> program(new PolicyProgram());
  program->lua_ = lua_newstate(&LimitedAllocate, &program->memory_);
  if (program->lua_ == nullptr) {
    return MakeStatus(ResultCode::kInternal, "no memory for a policy program");
  }
  lua_State* lua = program->lua_;
  lua_pushcfunction(lua, &OpenSandbox);
  if (absl::Status status = program->Call(0, 0); !status.ok()) {
    return status;
  }
  // "t": text only; precompiled chunks can crash the interpreter.
  if (luaL_loadbufferx(lua, source.data(), source.size(), kChunkName, "t") != LUA_OK) {
    return program->LastError();
  }
  if (absl::Status status = program->Call(0, 0); !status.ok()) {
    return status;
  }
  const bool has_plan = lua_getglobal(lua, "plan") == LUA_TFUNCTION;
  program->has_decide_ = lua_getglobal(lua, "decide") == LUA_TFUNCTION;
  lua_settop(lua, 0);
  if (!has_plan) {
    return Rejected("must define the function plan(request)");
  }
  return program;
}

absl::StatusOr<QueryPlan> PolicyProgram::Plan(const RequestFacts& request_facts) {
  lua_settop(lua_, 0);
  lua_getglobal(lua_, "plan");
  lua_createtable(lua_, 0, 4);
  lua_pushstring(lua_, request_facts.request_class.c_str());
  lua_setfield(lua_, -2, "class");
  lua_pushnumber(lua_, ToMilliseconds(request_facts.caller_deadline));
  lua_setfield(lua_, -2, "deadline_ms");
  lua_pushinteger(lua_, static_cast<lua_Integer>(request_facts.shards));
  lua_setfield(lua_, -2, "shards");
  lua_pushboolean(lua_, request_facts.has_idempotency_key ? 1 : 0);
  lua_setfield(lua_, -2, "has_idempotency_key");
  if (absl::Status status = Call(1, 1); !status.ok()) {
    return status;
  }
  absl::StatusOr<QueryPlan> plan = ReadPlan(lua_, QueryPlan{});
  lua_settop(lua_, 0);
  return plan;
}

absl::StatusOr<bool> PolicyProgram::Decide(const Progress& progress) {
  lua_settop(lua_, 0);
  lua_getglobal(lua_, "decide");
  lua_createtable(lua_, 0, 4);
  lua_pushnumber(lua_, ToMilliseconds(progress.elapsed));
  lua_setfield(lua_, -2, "elapsed_ms");
  lua_pushnumber(lua_, progress.coverage);
  lua_setfield(lua_, -2, "coverage");
  lua_pushinteger(lua_, static_cast<lua_Integer>(progress.missing));
  lua_setfield(lua_, -2, "missing");
  lua_pushinteger(lua_, static_cast<lua_Integer>(progress.total));
  lua_setfield(lua_, -2, "total");
  if (absl::Status status = Call(1, 1); !status.ok()) {
    return status;
  }
  const bool is_boolean = lua_isboolean(lua_, -1);
  const bool answer = lua_toboolean(lua_, -1) != 0;
  lua_settop(lua_, 0);
  if (!is_boolean) {
    return Rejected("decide() must return true or false");
  }
  return answer;
}

absl::Status PolicyProgram::Check(const std::string& source) {
  absl::StatusOr<std::unique_ptr<PolicyProgram>> program = Compile(source);
  if (!program.ok()) {
    return program.status();
  }
  const std::vector<RequestFacts> samples = {
      {"", Duration(0), 1, false},
      {"interactive", Milliseconds(200), 20, false},
      {"batch", Seconds(10), 610, true},
  };
  for (const RequestFacts& sample : samples) {
    absl::StatusOr<QueryPlan> plan = (*program)->Plan(sample);
    if (!plan.ok()) {
      return plan.status();
    }
    if ((*program)->has_decide()) {
      const Progress progress{plan->wait, plan->min_coverage, 1, sample.shards};
      absl::StatusOr<bool> decision = (*program)->Decide(progress);
      if (!decision.ok()) {
        return decision.status();
      }
    }
  }
  return absl::OkStatus();
}

}  // namespace pumicedyke::policy
