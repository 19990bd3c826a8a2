# gnuplot docs/plots/lost-worth.gp, from the root
set terminal svg size 900,760 background "white"
set output "docs/plots/lost-worth.svg"
set multiplot layout 3,1
set style data histograms
set style histogram rowstacked
set style fill solid 0.8 border -1
set boxwidth 0.6
set xtics font ",10"
set key outside right autotitle columnhead
set title "Worth lost by term"
plot for [i=2:8] "docs/plots/lost-worth.dat" using i:xtic(1)
set key inside bottom right noautotitle
set yrange [0:1]
set style data linespoints
set title "bvsaa-search, trouble-1: worth of each two seconds"
plot "docs/plots/windows-small.dat" using 1:2 title "start", "" using 1:3 title "now"
set title "bvsaa-search-grown, trouble-3: worth of each two seconds"
plot "docs/plots/windows-grown.dat" using 1:2 title "start", "" using 1:3 title "now"
unset multiplot
