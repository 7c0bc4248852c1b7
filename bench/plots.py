"""Writes benchmark results as JSON and plots them with gnuplot."""
import json
import os
import subprocess


def write(directory, results):
    os.makedirs(directory, exist_ok=True)
    with open(os.path.join(directory, "results.json"), "w") as f:
        json.dump(results, f, indent=1)
        f.write("\n")
    for run in results["runs"]:
        if "busy_slots" in run["report"]:
            plot_slots(directory, run["scenario"], run["report"])
    plot_quantiles(directory, results)


def gnuplot(script):
    subprocess.run(["gnuplot"], input=script, text=True, check=True)


def block(name, rows):
    return "$%s << EOD\n%s\nEOD\n" % (name, "\n".join(" ".join(map(str, r)) for r in rows))


def plot_slots(directory, name, report):
    rows = [(i / 10, busy, ideal) for i, (busy, ideal)
            in enumerate(zip(report["busy_slots"], report["ideal_slots"]))]
    gnuplot(block("slots", rows) + """
set terminal pngcairo size 900,400
set output '%s'
set xlabel 'time (s)'
set ylabel 'busy slots'
set yrange [0:*]
set key below
plot $slots using 1:2 with lines lw 2 title 'measured', $slots using 1:3 with lines title 'ideal'
""" % os.path.join(directory, name + ".png"))


def plot_quantiles(directory, results):
    rows = []
    for run in results["runs"]:
        response = run["report"].get("response")
        if run["scenario"].startswith("ratio") and response:
            rows += [('"%s %s"' % (run["scenario"], q), response[q]["ratio"])
                     for q in ("p50", "p90", "p99")]
    if rows:
        gnuplot(block("ratios", rows) + """
set terminal pngcairo size 700,400
set output '%s'
set style fill solid 0.5
set boxwidth 0.6
set yrange [0:1.2]
set ylabel 'response time / ideal'
set xtics rotate by -20
plot $ratios using 0:2:xtic(1) with boxes notitle, 1 with lines dt 2 notitle
""" % os.path.join(directory, "ratio.png"))
