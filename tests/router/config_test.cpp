// Tests of the operator's files: units, diagnostics, formatting, conversion, and comparison of two versions.
#include <rapidcheck.h>
#include <sys/stat.h>

#include <algorithm>
#include <filesystem>
#include <random>
#include <sstream>

#include "config/convert.hpp"
#include "config/explain.hpp"
#include "config/formatter.hpp"
#include "config/site_diff.hpp"
#include "config/site_reader.hpp"
#include "config/sources.hpp"
#include "core/clock.hpp"
#include "network_helpers.hpp"

namespace heathturn::test {
namespace {

namespace fs = std::filesystem;

#define PROPERTY(name, ...) REQUIRE(rc::check(name, __VA_ARGS__))

/// A temporary directory that is removed with the object.
struct TempDirectory {
  fs::path path;
  TempDirectory() {
    std::string name = "/tmp/heathturn-test-XXXXXX";
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    path = name;
  }
  ~TempDirectory() { fs::remove_all(path); }
  TempDirectory(const TempDirectory&) = delete;
  TempDirectory& operator=(const TempDirectory&) = delete;
  std::string write(const std::string& name, const std::string& text) const {
    std::ofstream(path / name, std::ios::binary) << text;
    return (path / name).string();
  }
};

/// Exit status of a finished program, and its output on standard output and error.
struct ProgramResult {
  int status = 0;
  std::string out;
};
ProgramResult run(const std::vector<std::string>& arguments) {
  Process program(arguments);
  ProgramResult out;
  out.out = program.read_remaining_output();
  out.status = program.wait_for_exit();
  return out;
}

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// ---- Units ----------------------------------------------------------------------------------------------

TEST_CASE("durations, shares, sizes and rates require units") {
  CHECK(*units::parse_duration("300ms").value == 300);
  CHECK(*units::parse_duration("1.5s").value == 1500);
  CHECK(*units::parse_duration("2m").value == 120000);
  CHECK(*units::parse_duration("1h").value == 3600000);
  CHECK(*units::parse_duration("250us").value == 0.25);
  CHECK(units::parse_duration("300").error == "has no unit");
  CHECK(units::parse_duration("").error == "is not a number with a unit");
  CHECK(units::parse_duration("-1s").error == "is negative");
  CHECK(units::parse_duration("1 s").error == "has the unknown unit \" s\"");
  CHECK(units::parse_duration("1e3s").error == "has the unknown unit \"e3s\"");
  CHECK(units::parse_duration("infs").error == "is not a number with a unit");
  CHECK(*units::parse_share("35%").value == Approx(0.35));
  CHECK(*units::parse_share("0.35").value == Approx(0.35));
  CHECK(units::parse_share("35").error == "is above 1 and has no %");
  CHECK(units::parse_share("101%").error == "is above 100%");
  CHECK(*units::parse_size("64KiB").value == 65536);
  CHECK(*units::parse_size("2MB").value == 2e6);
  CHECK(units::parse_size("64k").error == "has the unknown unit \"k\"");
  CHECK(*units::parse_rate("30/m").value == Approx(0.5));
  CHECK(units::parse_rate("30").error == "has no unit");
  for (const char* each : {"300ms", "1.5s", "90s", "2m", "0.25ms", "1.25s"}) {
    CHECK(*units::parse_duration(units::duration_text(*units::parse_duration(each).value)).value ==
          *units::parse_duration(each).value);
  }
  CHECK(units::rate_text(*units::parse_rate("30/m").value) == "30/m");
  CHECK(units::rate_text(*units::parse_rate("7/h").value) == "7/h");
}

TEST_CASE("times of the week may cross midnight and Sunday, and are formatted without a change of meaning") {
  const auto text = [](const char* given) {
    const auto spans = units::parse_week_spans(given);
    return spans.value ? units::week_text(*spans.value) : "error: " + spans.error;
  };
  CHECK(text("Mon-Tue 08:00-18:00") == "Mon 08:00-18:00, Tue 08:00-18:00");
  CHECK(text("Sun 22:00-06:00") == "Mon 00:00-06:00, Sun 22:00-24:00");
  CHECK(text("Sat-Mon") == "Mon, Sat, Sun");
  CHECK(text("Sat 08:00-12:00, Sat 11:00-13:00") == "Sat 08:00-13:00");
  CHECK(text("Fri 18:00-24:00,Sat") == "Fri 18:00-24:00, Sat");
  CHECK(text("Mon 25:00-26:00") == "error: has the invalid time \"25:00-26:00\"");
  CHECK(text("Mo 08:00-09:00") == "error: has the unknown day \"Mo\"");
  CHECK(text("Mon 08:00-08:00") == "error: has the invalid time \"08:00-08:00\"");
  CHECK(text("Mon,,Tue") == "error: has an empty part");
  PROPERTY("formatted and parsed again", [](unsigned seed) {
    std::mt19937 random(seed);
    std::vector<units::WeekSpan> spans;
    std::uint16_t at = 0;
    while (spans.size() < 5) {
      const auto from = static_cast<std::uint16_t>(at + 1 + random() % 1000);
      at = static_cast<std::uint16_t>(from + 1 + random() % 1000);
      spans.push_back({from, at});
    }
    RC_ASSERT(*units::parse_week_spans(units::week_text(spans)).value == spans);
  });
}

// ---- Diagnostics -----------------------------------------------------------------------------------------

/// The first line of each file has the diagnostic that it must cause: `# expect FILE:LINE:COLUMN: ...`.
TEST_CASE("each broken file of the corpus yields the expected diagnostic with its location, and no other") {
  const fs::path directory = fs::path(HEATHTURN_TEST_FILES) / "broken";
  std::size_t files = 0;
  for (const auto& entry : fs::directory_iterator(directory)) {
    const auto path = entry.path().string();
    if (!path.ends_with(".textproto")) continue;
    ++files;
    INFO(entry.path().filename());
    std::ifstream in(path);
    std::string first_line;
    std::getline(in, first_line);
    REQUIRE(first_line.starts_with("# expect "));
    Diagnostics diagnostics;
    (void)read_site(path, diagnostics);
    std::string reported;
    for (const auto& each : diagnostics.all()) reported += (reported.empty() ? "" : "\n") + each.to_text();
    // Locations in the corpus have full paths; they are made relative to its directory.
    for (auto at = reported.find(directory.string() + "/"); at != std::string::npos;
         at = reported.find(directory.string() + "/")) {
      reported.erase(at, directory.string().size() + 1);
    }
    CHECK(reported == first_line.substr(9));
    CHECK(diagnostics.all().size() == 1);
  }
  CHECK(files >= 60);
}

std::string only_diagnostic(const std::string& path) {
  Diagnostics diagnostics;
  (void)read_site(path, diagnostics);
  REQUIRE(diagnostics.all().size() == 1);
  return diagnostics.all().front().to_text();
}

TEST_CASE(
    "an include cycle through three files is reported with the whole chain; a file that is included twice is "
    "read once") {
  const TempDirectory directory;
  const auto prefix = (directory.path / "").string();
  directory.write("a.textproto", "include: \"b.textproto\"\n");
  directory.write("b.textproto", "\ninclude: \"c.textproto\"\n");
  directory.write("c.textproto", "\n\n  include: \"a.textproto\"\n");
  CHECK(only_diagnostic(prefix + "a.textproto")
            .starts_with(prefix + "c.textproto:3:3: include: an include cycle: " + prefix +
                         "a.textproto -> " + prefix + "b.textproto -> " + prefix + "c.textproto -> " +
                         prefix + "a.textproto; expected "));
  const auto text = read_file(HEATHTURN_SITE_FILE);
  directory.write("site.textproto", text);
  directory.write("left.textproto", "include: \"site.textproto\"\n");
  const auto top = directory.write("top.textproto", "include: [\"left.textproto\", \"./site.textproto\"]\n");
  CHECK(load_site(top).routes.size() == 3);
}

TEST_CASE("missing, special, too large, truncated and binary files are reported without blocking") {
  const TempDirectory directory;
  CHECK(contains(only_diagnostic(directory.path.string()), "is a directory; expected a text file"));
  CHECK(contains(only_diagnostic((directory.path / "none").string()), "cannot be read: No such file"));
  const auto pipe = (directory.path / "pipe").string();
  REQUIRE(::mkfifo(pipe.c_str(), 0600) == 0);
  CHECK(contains(only_diagnostic(pipe), "is not a regular file"));
  const auto loop = directory.path / "loop";
  fs::create_symlink(loop, loop);
  CHECK(contains(only_diagnostic(loop.string()), "cannot be read: Too many levels"));
  const auto large = directory.write("large", "#");
  fs::resize_file(large, 60'000'000);
  CHECK(contains(only_diagnostic(large), "has 60000000 bytes; expected no more than 33554432"));
  const auto text = read_file(HEATHTURN_SITE_FILE);
  const auto latin = directory.write("latin", "listen: \"127.0.0.1:1\"\n# caf\xe9\n");
  CHECK(only_diagnostic(latin) == latin + ":2:6: syntax: invalid byte; expected UTF-8 without zero bytes");
  // A truncated file is either reported, or its part is a valid file.
  std::size_t rejected = 0;
  for (std::size_t length = 0; length < text.size(); length += 7) {
    const auto path = directory.write("cut", text.substr(0, length));
    Diagnostics diagnostics;
    (void)read_site(path, diagnostics);
    if (diagnostics.has_errors()) ++rejected;
  }
  CHECK(rejected > text.size() / 7 / 2);
}

TEST_CASE("all errors of a file are reported in one run, and warnings are errors only with --strict") {
  const TempDirectory directory;
  auto text = read_file(HEATHTURN_SITE_FILE);
  const auto replace = [&text](const std::string& from, const std::string& to) {
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    text.replace(at, from.size(), to);
  };
  replace("deadline: \"1.5s\"", "deadline: 1500");
  replace("\"127.0.0.1:5301\"", "\"nowhere\"");
  replace("policy: \"quick\"", "policy: \"quack\"");
  replace("worth: 2", "wroth: 2");
  replace("aim: \"1s\"", "aim: \"1\"");
  const auto broken = directory.write("broken", text);
  const auto result = run({"config", "check", broken});
  CHECK(result.status == 1);
  CHECK(std::count(result.out.begin(), result.out.end(), '\n') == 5);
  CHECK(contains(result.out, "deadline: 1500 has no unit; expected a duration such as"));
  CHECK(contains(result.out, "pool.north.member.north.address: \"nowhere\" is not an address"));
  CHECK(
      contains(result.out, "route.649.policy: no policy is named \"quack\"; expected one of default, quick"));
  CHECK(contains(result.out, "wroth: unknown field; expected name, worth"));
  CHECK(contains(result.out, "class.look-up.aim: \"1\" has no unit"));
  const auto unused =
      directory.write("unused", read_file(HEATHTURN_SITE_FILE) + "policy { name: \"spare\" }\n");
  const auto warned = run({"config", "check", unused});
  CHECK(warned.status == 0);
  CHECK(contains(warned.out, "warning: policy.spare: no route uses this policy"));
  CHECK(run({"config", "check", "--strict", unused}).status == 1);
}

TEST_CASE("the JSON form of earlier versions is recognized, and converted without a change of meaning") {
  const std::string old = std::string(HEATHTURN_TEST_FILES) + "/old_form.json";
  Process program({"serve", "--enum", old});
  CHECK(
      contains(program.read_remaining_output(), "`heathturn config convert " + old + "` writes the new one"));
  CHECK(program.wait_for_exit() == 1);
  const TempDirectory directory;
  const auto converted = (directory.path / "site.textproto").string();
  CHECK(run({"config", "convert", old, "--out", converted}).status == 0);
  const auto difference = diff_sites(load_site(converted), load_site(HEATHTURN_SITE_FILE));
  CHECK(difference.moved_prefix_count == 0);
  for (const auto& each : difference.changes) {
    CHECK((each.kind == "policy" || each.text == "numbers 649: policy quick, was within-1.5s"));
  }
  const auto with_registry = convert_json_site("old", R"({"listen":"127.0.0.1:1","suffix":"e.org",
    "numbers":[{"prefix":"","destination":3}],
    "eureka":{"registry":"127.0.0.1:2","application":"ns","fetch_every_ms":250,"register_as":"h"},
    "settings":{"balancers":1,"classes":[{"name":"a","importance":1,"objective_us":1000000,"give_up_us":2000000}],
    "specifics":{"network_form":"groups"},"limits":{"try_limit":9}}})");
  const auto config = load_site(directory.write("r", with_registry));
  CHECK(config.pools.at(0).from_registry->number == 3);
  CHECK(config.registries.at(0).fetch_every_ms == 250);
  CHECK(config.registries.at(0).own_application == "h");
  CHECK(config.policies.at(0).max_attempts == 6);
  CHECK(run({"config", "convert", converted}).status == 1);
}

// ---- Formatting ------------------------------------------------------------------------------------------

/// A random valid file, with comments and irregular layout throughout.
std::string random_site(std::mt19937& random) {
  const auto pick = [&random](std::initializer_list<const char*> from) {
    return std::string(*(from.begin() + static_cast<long>(random() % from.size())));
  };
  const auto gap = [&] { return pick({" ", "\n", "  ", "\n\n", " # remark\n", "\n# a line\n", "\t"}); };
  const auto colon = [&] { return pick({":", ": ", " : ", ":\n"}); };
  const auto text = [&](const std::string& value) {
    return pick({"'", "\""}) == "'" ? "'" + value + "'" : "\"" + value + "\"";
  };
  std::string out = gap() + "listen" + colon() + text("127.0.0.1:1") + gap() + "suffix" + colon() +
                    "\"e.\" \"org\"" + gap();
  const auto classes = 1 + random() % 3;
  for (unsigned i = 0; i < classes; ++i) {
    out += "class" + pick({" ", ": ", ""}) + "{" + gap() + "name" + colon() + text("c" + std::to_string(i)) +
           pick({",", ";", " "}) + gap() + "worth:" + std::to_string(random() % 9) + gap() + "}" + gap();
  }
  const auto pools = 1 + random() % 4;
  for (unsigned i = 0; i < pools; ++i) {
    const auto name = "p" + std::to_string(i);
    out += "pool <" + gap() + "name: " + text(name) + gap() + "member" + pick({"", ":"}) + " [" + gap();
    const auto members = 1 + random() % 3;
    for (unsigned k = 0; k < members; ++k) {
      out += std::string(k > 0 ? "," : "") + gap() + "{name: " + text(name + "m" + std::to_string(k)) +
             gap() + "address: \"127.0.0.1:" + std::to_string(1 + random() % 9) + "\"" + gap() + "}";
    }
    out += gap() + "]" + gap() + ">" + gap();
  }
  out += "policy { name: \"p\"" + gap() + "attempts: " + std::to_string(1 + random() % 6) + "}" + gap();
  const auto routes = 1 + random() % 6;
  for (unsigned i = 0; i < routes; ++i) {
    out += "route {" + gap() + "prefix" + colon() + "[" + gap() + text("6" + std::to_string(i)) + gap() +
           "," + text("7" + std::to_string(i)) + gap() + "]" + gap();
    const auto first = random() % pools, second = random() % pools;
    if (first != second) {
      out += "to { pool: " + text("p" + std::to_string(first)) + gap() + "share: '0.25' }" + gap() +
             "to { share: \"75%\"" + gap() + "pool: " + text("p" + std::to_string(second)) + "}" + gap();
    } else {
      out += "to { pool: " + text("p" + std::to_string(first)) + "}" + gap();
    }
    out += (random() % 2 == 0 ? "policy: 'p'" + gap() : "") + "}" + gap();
  }
  return out;
}

std::vector<std::string> comments_of(const std::string& text) {
  std::vector<std::string> out;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (const auto at = line.find('#'); at != std::string::npos) out.push_back(line.substr(at));
  }
  std::sort(out.begin(), out.end());
  return out;
}

TEST_CASE("formatting is stable, keeps every comment and does not change the meaning of a file") {
  PROPERTY("generated files", [](unsigned seed) {
    std::mt19937 random(seed);
    const auto text = random_site(random);
    Diagnostics diagnostics;
    const auto once = format_source("x", text, diagnostics);
    RC_ASSERT(once.has_value());
    const auto twice = format_source("x", *once, diagnostics);
    RC_ASSERT(twice == once);
    RC_ASSERT(comments_of(*once) == comments_of(text));
    const TempFile before(text), after(*once);
    RC_ASSERT(diff_sites(load_site(before.path()), load_site(after.path())).changes.empty());
  });
  Diagnostics diagnostics;
  const auto example = read_file(HEATHTURN_SITE_FILE);
  CHECK(format_source("x", example, diagnostics) == example);
}

TEST_CASE("fmt replaces the file atomically, keeps its mode, and reports the result in its exit status") {
  const TempDirectory directory;
  const auto path = directory.write("site", "listen:'127.0.0.1:1'  # here\n\n\n\nclass{name:'a'}");
  ::chmod(path.c_str(), 0640);
  CHECK(run({"config", "fmt", "--check", path}).status == 1);
  CHECK(run({"config", "fmt", path}).out == "listen: '127.0.0.1:1'  # here\n\nclass { name: 'a' }\n");
  CHECK(run({"config", "fmt", "--write", path}).status == 0);
  CHECK(read_file(path) == "listen: '127.0.0.1:1'  # here\n\nclass { name: 'a' }\n");
  CHECK((fs::status(path).permissions() & fs::perms::mask) == fs::perms(0640));
  CHECK(run({"config", "fmt", "--check", path}).status == 0);
  CHECK(std::distance(fs::directory_iterator(directory.path), {}) == 1);
  const auto broken = directory.write("broken", "listen {");
  CHECK(run({"config", "fmt", "--write", broken}).status == 2);
  CHECK(read_file(broken) == "listen {");
}

// ---- Difference -----------------------------------------------------------------------------------------

std::string site_text(const std::string& routes, const std::string& more = "") {
  const auto pool = [](const std::string& name) {
    return "pool { name: \"" + name + "\" member { name: \"" + name + "1\" address: \"127.0.0.1:1\" } }\n";
  };
  return "listen: \"127.0.0.1:0\"\nsuffix: \"e.org\"\nclass { name: \"a\" }\n" + pool("north") +
         pool("south") + more + routes;
}

std::vector<std::string> changes(const std::string& before, const std::string& after,
                                 std::string* summary = nullptr) {
  const TempFile old(before), current(after);
  const auto difference = diff_sites(load_site(old.path()), load_site(current.path()));
  if (summary != nullptr) *summary = difference.summary();
  std::vector<std::string> out;
  for (const auto& each : difference.changes) out.push_back(each.text);
  return out;
}

std::string route(const std::string& match, const std::string& to, const std::string& more = "") {
  return "route { " + match + " " + to + " " + more + " }\n";
}
std::string shares(const std::string& north, const std::string& south) {
  return "to { pool: \"north\" share: \"" + north + "\" } to { pool: \"south\" share: \"" + south + "\" }";
}

TEST_CASE("a difference is described by its effect on numbers, pools and policies") {
  using Lines = std::vector<std::string>;
  const auto base = route("prefix: \"649\"", shares("90%", "10%")) + route("", "to { pool: \"north\" }");
  std::string summary;
  CHECK(
      changes(site_text(base),
              site_text(route("prefix: \"649\"", shares("70%", "30%")) + route("", "to { pool: \"north\" }")),
              &summary) == Lines{"numbers 649: 70% to pool north, was 90%; 30% to pool south, was 10%"});
  CHECK(summary == "about 1 of 2 ranges of numbers change their first pool");
  // Another order, another notation of shares and a route without an effect are no differences.
  CHECK(changes(site_text(base), site_text(route("", "to { pool: \"north\" }") +
                                           route("prefix: \"649\"", shares("0.9", "0.1")) +
                                           route("prefix: \"64\"", "to { pool: \"north\" }")))
            .empty());
  // The numbers of a removed route go to the route with the shorter prefix.
  CHECK(changes(site_text(base), site_text(route("", "to { pool: \"north\" }"))) ==
        Lines{"numbers 649: 100% to pool north, was 90%; no longer to pool south, was 10%"});
  CHECK(changes(site_text(route("prefix: \"649\"", "to { pool: \"north\" }")),
                site_text(route("prefix: \"648\"", "to { pool: \"north\" }"))) ==
        Lines{"numbers 648: new: 100% to pool north; policy default",
              "numbers 649: no route any more, was 100% to pool north; policy default"});
  // A change that applies only at some times of the week.
  CHECK(changes(site_text(base),
                site_text(route("prefix: \"649\" when: \"Sat-Sun\"", "to { pool: \"south\" }") + base)) ==
        Lines{"numbers 649, Sat, Sun: 100% to pool south, was 10%; no longer to pool north, was 90%"});
  const std::string tenant = "tenant { name: \"tui\" network: \"10.0.0.0/8\" }\n";
  CHECK(
      changes(site_text(base, tenant),
              site_text(route("prefix: \"649\" tenant: \"tui\"", "to { pool: \"south\" }") + base, tenant)) ==
      Lines{"numbers 649, tenant tui: 100% to pool south, was 10%; no longer to pool north, was 90%"});
  const std::string slow = "policy { name: \"p\" deadline: \"2s\" attempts: 2 }\n",
                    slower = "policy { name: \"p\" deadline: \"3s\" attempts: 2 rate: \"5/s\" }\n";
  CHECK(changes(site_text(base, slow), site_text(base, slower)) ==
        Lines{"policy p: deadline 3s, was 2s", "policy p: rate 5/s burst 1, was no limit"});
  const auto lines =
      changes(site_text(base), site_text(base + "decisions { attempts: 2 }\n",
                                         "pool { name: \"west\" member { name: \"w\" address: "
                                         "\"127.0.0.1:2\" } }\npolicy { name: \"default\" attempts: 2 }\n"));
  CHECK(lines ==
        Lines{"decisions: attempts 2, was 6", "pool west: new", "policy default: attempts 2, was 3"});
}

TEST_CASE(
    "diff and show on the command line: sentences, JSON, exit statuses, and the explanation of a number's "
    "route") {
  const TempDirectory directory;
  const auto example = std::string(HEATHTURN_SITE_FILE);
  auto text = read_file(example);
  CHECK(run({"config", "diff", example, example}).status == 0);
  text.replace(text.find("127.0.0.1:5301"), 14, "127.0.0.1:5309");
  const auto moved = directory.write("moved", text);
  const auto result = run({"config", "diff", example, moved});
  CHECK(result.status == 1);
  CHECK(result.out == "pool north: member north address 127.0.0.1:5309, was 127.0.0.1:5301\n");
  const auto json = run({"config", "diff", "--json", example, moved});
  CHECK(contains(json.out, R"("kind":"pool","subject":"pool north")"));
  CHECK(run({"config", "diff", example, directory.write("bad", "x")}).status == 2);
  const auto shown = run({"config", "show", example});
  CHECK(shown.status == 0);
  CHECK(contains(shown.out, "policy.quick.deadline = 1.5s"));
  CHECK(contains(shown.out, "# policy default, " + example + ":"));
  CHECK(contains(shown.out, "# default\n"));
  const auto why = run({"config", "show", example, "--number", "6494321", "--class", "abroad"});
  CHECK(contains(why.out, "class abroad (as asked)"));
  CHECK(contains(why.out, "route for numbers 649 at "));
  CHECK(contains(why.out, "policy quick"));
  CHECK(contains(run({"config", "show", example, "--number", "12"}).out, "route for all numbers"));
  CHECK(run({"config", "show", example, "--number", "12", "--class", "none"}).status == 1);
  for (const char* each : {"check", "fmt", "diff", "show", "convert"}) {
    CHECK(contains(run({"config", each, "--help"}).out, "Exit status: "));
  }
}

}  // namespace
}  // namespace heathturn::test
