# Draws the plots of docs/measurements.md from the time series beside them. Run in docs/plots.
set terminal svg size 760,360 background "white" font "sans,12"
set grid ytics
set key outside top center horizontal
set xlabel "seconds"

set output "gap_over_time.svg"
set ylabel "tokens per share"
set yrange [0:*]
plot "gap_over_time.tsv" using 1:($4 * $3) with filledcurves x1 fc rgb "#eeeeee" title "domain c cut off", \
     "" using 1:3 with lines dt 2 lc rgb "#aa0000" title "bound", \
     "" using 1:2 with lines lw 2 lc rgb "#003366" title "gap between workspaces"

set output "flood_over_time.svg"
set ylabel "answers a second"
set y2label "p95 first token, ms"
set y2tics
set y2range [0:*]
plot "flood_over_time.tsv" using 1:($4 * 300) with boxes fs solid 1 lc rgb "#eeeeee" title "flood", \
     "" using 1:2 with lines lw 2 lc rgb "#003366" title "answers of other work", \
     "" using 1:3 axes x1y2 with lines lw 2 lc rgb "#aa0000" title "p95 first token of other work"
